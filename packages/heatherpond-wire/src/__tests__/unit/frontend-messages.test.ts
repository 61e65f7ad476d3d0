import {Buffer} from 'node:buffer';
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {encodeText} from '../../backend-messages.js';
import {
	parseBind, parseBindNames, parseExecute, parseParse, parseStartup, parseTarget, parseText,
} from '../../frontend-messages.js';
import {WireError} from '../../wire-error.js';

const SEED = 20_261_206;
/** Any text that a zero-terminated string can hold. */
const text = fc.string({unit: 'binary'}).filter(value => !value.includes('\0') && Buffer.from(value).toString() === value);

function encodeCount(count: number): Buffer {
	return Buffer.of(Math.floor(count / 256), count % 256);
}

describe('messages of clients', () => {
	test('every statement name is followed by the definition that was sent with it', () => {
		fc.assert(fc.property(text, text, fc.array(fc.nat(), {maxLength: 4}), (name, query, types) => {
			const definition = Buffer.concat([encodeText(query), encodeCount(types.length), ...types.map(type => {
				const bytes = Buffer.alloc(4);
				bytes.writeUInt32BE(type);
				return bytes;
			})]);
			const parsed = parseParse(Buffer.concat([encodeText(name), definition]));
			expect([parsed.statement, parsed.text, parsed.parameterTypes]).toEqual([name, query, types]);
			expect(parsed.definition).toEqual(definition);
		}), {seed: SEED, numRuns: 300});
	});

	test('a text that is not UTF-8 is refused, so that no two of them are taken for one', () => {
		fc.assert(fc.property(fc.uint8Array({minLength: 1}).map(bytes => Buffer.from(bytes.map(byte => byte === 0 ? 1 : byte))), bytes => {
			const body = Buffer.concat([bytes, Buffer.alloc(1)]);
			const isUtf8 = Buffer.from(bytes.toString('utf8')).equals(bytes);
			if (isUtf8) {
				expect(Buffer.from(parseText(body))).toEqual(bytes);
			} else {
				expect(() => parseText(body)).toThrow(WireError);
			}
		}), {seed: SEED, numRuns: 500});
	});

	test.each([
		['Query', () => parseText(Buffer.from('a\0b\0'))],
		['Parse', () => parseParse(Buffer.from('\0a\0\0\0b'))],
		['Bind', () => parseBind(Buffer.from('\0\0\0\0\0\0\0\0b'))],
		['Describe', () => parseTarget(Buffer.from('Sa\0b'))],
		['Execute', () => parseExecute(Buffer.from('a\0\0\0\0\0b'))],
		['Startup', () => parseStartup(Buffer.from('\0\u0003\0\0a\0b\0\0c'))],
	])('bytes after the last field of %s are refused', (_name, parse) => {
		expect(parse).toThrow(WireError);
	});

	test.each([
		['Query', () => parseText(Buffer.from('a'))],
		['Parse', () => parseParse(Buffer.from('a\0b\0\0\u0001'))],
		['Bind', () => parseBind(Buffer.from('\0\0\0\0\0\u0001\0\0\0\u0009a'))],
		['Bind names', () => parseBindNames(Buffer.from('\0a'))],
		['Startup', () => parseStartup(Buffer.from('\0\u0003\0\0a\0b\0'))],
	])('a body of %s that ends inside a field is refused', (_name, parse) => {
		expect(parse).toThrow(WireError);
	});

	test('counts above 32767 are not negative', () => {
		const count = 40_000;
		const body = Buffer.concat([encodeText(''), encodeText(''), encodeCount(0), encodeCount(count), Buffer.alloc(count * 4), encodeCount(0)]);
		expect(parseBind(body).values).toHaveLength(count);
	});

	test('a text with a zero byte cannot be encoded, as it would end there', () => {
		expect(() => encodeText('a\0b')).toThrow(WireError);
	});
});
