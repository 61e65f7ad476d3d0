import {Buffer} from 'node:buffer';
import {
	beforeAll, describe, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import {parseStatements, startSqlParser} from 'heatherpond-standin';
import {startClassifier} from '../../classify.js';
import {EMPTY_SETTINGS} from '../../client-settings.js';
import {applyStartupParameters} from '../../startup-parameters.js';

type SqlNode = ReturnType<typeof parseStatements>[number];

const SEED = 20_261_206;

beforeAll(async () => {
	await Promise.all([startClassifier(), startSqlParser()]);
});

/** Returns the variables that a database sets for startup parameters, by name. */
function readVariables(parameters: Readonly<Record<string, string>>): Readonly<Record<string, unknown>> {
	const {variablesText = ''} = applyStartupParameters(EMPTY_SETTINGS, new Map(Object.entries(parameters)));
	return Object.fromEntries(parseStatements(variablesText).map(statement => {
		const body = statement.VariableSetStmt as SqlNode;
		const [argument] = body.args as readonly SqlNode[];
		const constant = argument!.A_Const as SqlNode;
		return [body.name as string, (constant.sval as SqlNode).sval];
	}));
}

describe('startup parameters', () => {
	test.each([
		[String.raw`-c a.b=c\ d`, {'a.b': 'c d'}],
		[String.raw`-c a.b=c\\d`, {'a.b': String.raw`c\d`}],
		['-ca.b=1 --a.c=2', {'a.b': '1', 'a.c': '2'}],
		['--a.b-c=1', {'a.b_c': '1'}],
		[String.raw`-c a.b\=1`, {'a.b': '1'}],
		['-c a.b=x=y', {'a.b': 'x=y'}],
		['-c\ta.b=it\'s', {'a.b': 'it\'s'}],
		['-c a.b=1 -c a.b=2', {'a.b': '2'}],
	])('options %j set what PostgreSQL reads in them', (options, expected) => {
		expect(readVariables({options})).toEqual(expected);
	});

	test.each(['-c', '-c a.b', '-c a.b=1 c', '-d 5', '-c 1a=2', '--', '-c search_path=a'])('options %j are refused', options => {
		expect(() => readVariables({options})).toThrow('through transaction pooling');
	});

	test('a parameter of its own goes before the same one in the options, whatever the order and the case', () => {
		expect(readVariables({TimeZone: 'A', options: '-c timezone=B'})).toEqual({timezone: 'A'});
		expect(readVariables({options: '-c TIMEZONE=B', timezone: 'A'})).toEqual({timezone: 'A'});
	});

	test('every value arrives as it was sent, as a parameter and in the options', () => {
		const value = fc.string({unit: 'binary', minLength: 1}).filter(text => !text.includes('\0') && Buffer.from(text).toString() === text);
		fc.assert(fc.property(value, text => {
			expect(readVariables({'a.b': text})).toEqual({'a.b': text});
			const escaped = text.replaceAll(/[\\ \t\n\r\f\v]/gv, character => `\\${character}`);
			expect(readVariables({options: `-c a.b=${escaped} --a.c=x`})).toEqual({'a.b': text, 'a.c': 'x'});
		}), {seed: SEED, numRuns: 300});
	});
});
