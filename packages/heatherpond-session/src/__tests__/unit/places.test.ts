import {describe, expect, test} from '@jest/globals';
import {
	createClientSession, findCommonHomes, isHome, type SessionReply, type StatementAction,
} from '../../index.js';
import {
	createRoute, createStatement, createTestServices, runUntilSettled, type TestServices,
} from '../support/test-services.js';

const READ: StatementAction = {kind: 'data', access: 'read'};
const WRITE: StatementAction = {kind: 'data', access: 'write'};
const BEGIN: StatementAction = {kind: 'begin', isReadOnly: false};

type Run = (action: StatementAction) => Promise<SessionReply>;

function startSession({services, clock}: TestServices): Run {
	const session = createClientSession({sessionId: 's-1', database: 'shop', key: 'key'}, services);
	return async action => runUntilSettled(clock, session.run(createStatement(action), clock.readNow()));
}

describe('places', () => {
	test('a write is refused at once, as not run, when the primary is not permitted', async () => {
		const fixture = createTestServices();
		fixture.forbidden.add('db-1');
		const run = startSession(fixture);
		const start = fixture.clock.readNow();
		expect(await run(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'busy', retryAfterMs: 1000}});
		expect(fixture.clock.readNow() - start).toBeLessThan(20);
		expect(fixture.seen).toEqual([]);
	});

	test('a read goes to a permitted replica', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 100n}, fixture.clock.readNow());
		fixture.forbidden.add('db-1').add('db-2');
		expect(await startSession(fixture)(READ)).toMatchObject({kind: 'answer', database: 'db-3'});
	});

	test('a read goes to a permitted replica once the primary, which it must not use, has told its position', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.forbidden.add('db-1');
		fixture.toldPosition = 100n;
		expect(await startSession(fixture)(READ)).toMatchObject({kind: 'answer'});
		expect(fixture.positionRequests).toBe(1);
		expect(fixture.seen.filter(({database}) => database === 'db-1')).toEqual([]);
	});

	test('a read is refused, as not run, when the primary that it must not use does not tell its position', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.forbidden.add('db-1');
		const start = fixture.clock.readNow();
		expect(await startSession(fixture)(READ)).toMatchObject({kind: 'refused', refusal: {code: 'busy'}});
		expect(fixture.clock.readNow() - start).toBeLessThanOrEqual(150);
		expect(fixture.seen).toEqual([]);
	});

	test('a read that may use the primary asks for no position', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		expect(await startSession(fixture)(READ)).toMatchObject({kind: 'answer', database: 'db-1'});
		expect(fixture.positionRequests).toBe(0);
	});

	test('a read is refused at once when no database of the group is permitted', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		['db-1', 'db-2', 'db-3'].forEach(id => {
			fixture.forbidden.add(id);
		});
		expect(await startSession(fixture)(READ)).toMatchObject({kind: 'refused', refusal: {code: 'busy'}});
		expect(fixture.seen).toEqual([]);
	});

	test('both the homes of a route and those of a team bind', () => {
		const homes = findCommonHomes(new Set(['north', 'south']), new Set(['south', 'west']));
		expect(['north', 'south', 'west'].filter(region => isHome(homes, region))).toEqual(['south']);
		expect(isHome(findCommonHomes(undefined, new Set(['west'])), 'north')).toBe(false);
		expect(isHome(findCommonHomes(undefined, undefined), 'north')).toBe(true);
	});
});

describe('the budget of a cold database', () => {
	test('sends a read elsewhere when it is used up', async () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 100n}, fixture.clock.readNow());
		fixture.budgets.set('db-2', 500);
		const reply = await startSession(fixture)(READ);
		expect(reply).toMatchObject({kind: 'answer'});
		expect(fixture.seen.every(({database}) => database !== 'db-2')).toBe(true);
	});

	test('refuses, as not run, what only that database could run', async () => {
		const fixture = createTestServices();
		fixture.budgets.set('db-1', 2000);
		expect(await startSession(fixture)(WRITE)).toMatchObject({kind: 'refused', refusal: {code: 'busy'}});
		expect(fixture.seen).toEqual([]);
	});

	test('holds the statements of an open transaction, which is rolled back when no room comes', async () => {
		const fixture = createTestServices();
		const run = startSession(fixture);
		await run(BEGIN);
		await run(READ);
		fixture.budgets.set('db-1', 300);
		const sent = fixture.seen.length;
		expect(await run(READ)).toMatchObject({kind: 'refused', refusal: {code: 'aborted'}});
		expect(fixture.seen.slice(sent).filter(({command}) => command.kind === 'forward')).toEqual([]);
	});
});
