import {describe, expect, test} from '@jest/globals';
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	createConnectionPool, type Loan, type StepEnd, type UpstreamAnswer, type UpstreamCommand, type UpstreamConnection, type WorkStep,
} from 'heatherpond-session';
import {
	createRelayClient, selectRelays, needsRelays, orderRelaysForTeam, startRelayServer, type HostRecord, type RelayClient,
} from '../../index.js';
import {createMemoryLinks, type MemoryLinks} from '../support/memory-links.js';
import {advance} from '../support/steps.js';

const RELAY: HostRecord = {
	host: 'relay', incarnation: 'run-1', domain: 'd', address: 'relay', port: 1, refreshedAt: 0,
};
const WORK_MS = 10;

type Fixture = {
	readonly clock: FakeClock;
	readonly links: MemoryLinks;
	readonly client: RelayClient;
	/** Commands that the database was sent, by connection. */
	readonly sent: Array<{readonly connection: number; readonly command: UpstreamCommand}>;
	readonly failures: string[];
	readonly pool: ReturnType<typeof createConnectionPool>;
	answerMs: number;
	isReplaced: boolean;
	isStopping: boolean;
	refuses: (command: UpstreamCommand) => boolean;
};

function createFixture(): Fixture {
	const clock = createFakeClock(1000);
	const links = createMemoryLinks(clock);
	let connections = 0;

	function createConnection(team: string): UpstreamConnection {
		connections++;
		const connection = connections;
		let isOpen = true;
		let state: UpstreamAnswer['state'] = 'idle';
		let listeners: Array<() => void> = [];
		return {
			database: 'db', team, isOpen: () => isOpen,
			async exchange(commands) {
				await new Promise<void>(resolve => {
					clock.registerTimer(clock.readNow() + fixture.answerMs, resolve);
				});
				return commands.map((command): UpstreamAnswer => {
					fixture.sent.push({connection, command});
					if (fixture.refuses(command)) {
						return {body: 'ERROR', outcome: {kind: 'error', code: 'lagging'}, state};
					}

					state = command.kind === 'begin' ? 'open' : state;
					const isEnd = command.kind === 'rollback' || (command.kind === 'forward' && command.text === 'COMMIT');
					state = isEnd ? 'idle' : state;
					return {
						body: `DATAROW ${command.kind}\r\n`, outcome: {kind: 'complete'}, state, point: {term: 3, position: 12_345_678_901_234_567_890n},
					};
				});
			},
			destroy() {
				isOpen = false;
				const closed = listeners;
				listeners = [];
				closed.forEach(listener => {
					listener();
				});
			},
			registerCloseListener(listener) {
				listeners.push(listener);
			},
		};
	}

	const pool = createConnectionPool({
		clock, readCap: () => 4, isLeaving: () => false, random: () => 0, open: async team => createConnection(team),
	});
	const fixture: Fixture = {
		clock, links, pool, sent: [], failures: [], answerMs: WORK_MS, isReplaced: false, isStopping: false, refuses: () => false,
		client: createRelayClient({clock, links: links.createPort('asker'), writeEvent: () => undefined}),
	};
	startRelayServer({
		clock, links: links.createPort('relay'), acquire: async (_database, request) => pool.acquire(request),
		applyFailure(_database, reason) {
			fixture.failures.push(reason);
		},
		isReplaced: () => fixture.isReplaced, isStopping: () => fixture.isStopping, writeEvent: () => undefined,
	});
	return fixture;
}

function createLoan({client, clock}: Fixture): Loan {
	return client.createHandle(RELAY, 'db', {
		team: 'team', priority: 1, variables: new Map(), deadline: clock.readNow() + 1000, signal: new AbortController().signal,
	});
}

function createStep({clock}: Fixture, text: string, change: Partial<WorkStep> = {}): WorkStep {
	return {
		command: {kind: 'forward', id: 'id-1', text}, isSentOnce: false, isLast: true, deadline: clock.readNow() + 500, ...change,
	};
}

/** Runs a step and lets time pass until it has ended. */
async function runStep({clock}: Fixture, loan: Loan, step: WorkStep): Promise<StepEnd | Error> {
	const settled = loan.run(step).catch((error: unknown) => error as Error);
	const ended = {isSettled: false};
	void settled.finally(() => {
		ended.isSettled = true;
	});
	const until = clock.readNow() + 2000;
	while (!ended.isSettled && clock.readNow() < until) {
		await advance(clock, 5);
	}

	return settled;
}

describe('the choice of hosts that hold connections', () => {
	const hosts = Array.from({length: 72}, (_, index) => ({host: `host-${index}`, domain: `domain-${index % 6}`}));
	const need = {
		database: 'db', domain: 'domain-2', hosts, readRegion: (domain: string) => domain,
	};

	test('is made only when a host would have less than two', () => {
		expect(needsRelays({maxConnections: 43, hosts})).toBe(true);
		expect(needsRelays({maxConnections: 143, hosts})).toBe(true);
		expect(needsRelays({maxConnections: 144, hosts})).toBe(false);
		expect(needsRelays({maxConnections: 17, hosts: hosts.slice(0, 7)})).toBe(false);
	});

	test('takes few hosts near the database, and the same ones in whatever order hosts are known', () => {
		const relays = selectRelays({...need, maxConnections: 43});
		expect(relays).toHaveLength(4);
		expect(relays.every(({domain}) => domain === 'domain-2')).toBe(true);
		expect(selectRelays({...need, maxConnections: 43, hosts: hosts.toReversed()})).toEqual(relays);
		expect(selectRelays({...need, maxConnections: 9})).toHaveLength(1);
		expect(selectRelays({...need, maxConnections: 9, domain: 'elsewhere'})).toHaveLength(1);
	});

	test('spreads teams, and moves only those of a host that goes', () => {
		const relays = selectRelays({...need, maxConnections: 43});
		const teams = Array.from({length: 80}, (_, index) => `team-${index}`);
		const before = teams.map(team => orderRelaysForTeam(relays, team)[0]!.host);
		const counts = relays.map(({host}) => before.filter(chosen => chosen === host).length);
		expect(Math.max(...counts)).toBeLessThan(40);
		const rest = relays.slice(1);
		const after = teams.map(team => orderRelaysForTeam(rest, team)[0]!.host);
		expect(after.filter((host, index) => host !== before[index])).toHaveLength(counts[0]!);
	});
});

describe('a statement that is sent through another host', () => {
	test('is answered as the database answered it, and the connection is free again', async () => {
		const fixture = createFixture();
		const loan = createLoan(fixture);
		const end = await runStep(fixture, loan, createStep(fixture, 'READ a'));
		expect(end).toMatchObject({kind: 'answered', answer: {body: 'DATAROW forward\r\n', state: 'idle', point: {position: 12_345_678_901_234_567_890n}}});
		expect(fixture.pool.countLent()).toBe(0);
		const texts = fixture.links.countSentTo('relay');
		loan.release(true);
		expect(fixture.links.countSentTo('relay')).toBe(texts);
	});

	test('uses the connections of its team again', async () => {
		const fixture = createFixture();
		await runStep(fixture, createLoan(fixture), createStep(fixture, 'READ a'));
		await runStep(fixture, createLoan(fixture), createStep(fixture, 'READ b'));
		expect(fixture.sent.map(({connection}) => connection)).toEqual([1, 1]);
	});

	test('runs a transaction on one connection, set up once', async () => {
		const fixture = createFixture();
		const loan = createLoan(fixture);
		const needs = {variables: new Map([['zone', 'utc']])};
		await runStep(fixture, loan, createStep(fixture, 'WRITE a', {needs, begin: {isReadOnly: false}, isLast: false}));
		await runStep(fixture, loan, createStep(fixture, 'WRITE b', {needs, isLast: false}));
		const end = await runStep(fixture, loan, createStep(fixture, 'COMMIT'));
		expect(end).toMatchObject({kind: 'answered', answer: {state: 'idle'}});
		expect(fixture.sent.map(({command}) => command.kind)).toEqual(['set', 'begin', 'forward', 'forward', 'forward']);
		expect(new Set(fixture.sent.map(({connection}) => connection)).size).toBe(1);
		expect(fixture.pool.countLent()).toBe(0);
	});

	test('tells that the opening of a transaction was refused, and keeps the connection', async () => {
		const fixture = createFixture();
		fixture.refuses = ({kind}) => kind === 'begin';
		const loan = createLoan(fixture);
		const end = await runStep(fixture, loan, createStep(fixture, 'READ a', {begin: {isReadOnly: true}}));
		expect(end).toMatchObject({kind: 'refused', answer: {state: 'idle'}});
		loan.release(true);
		await advance(fixture.clock, 20);
		expect(fixture.pool.countLent()).toBe(0);
		expect(fixture.pool.hasIdle('team')).toBe(true);
	});

	test('is rolled back when its host gives the transaction up, and when the link closes', async () => {
		const fixture = createFixture();
		const first = createLoan(fixture);
		await runStep(fixture, first, createStep(fixture, 'WRITE a', {begin: {isReadOnly: false}, isLast: false}));
		await first.rollBack(fixture.clock.readNow() + 300);
		await advance(fixture.clock, 50);
		expect(fixture.sent.at(-1)!.command.kind).toBe('rollback');
		const second = createLoan(fixture);
		await runStep(fixture, second, createStep(fixture, 'WRITE a', {begin: {isReadOnly: false}, isLast: false}));
		fixture.links.close('relay');
		await advance(fixture.clock, 50);
		expect(fixture.sent.filter(({command}) => command.kind === 'rollback')).toHaveLength(2);
		expect(fixture.pool.countLent()).toBe(0);
	});

	test('fails as sent when the host goes while it is at work, and as not sent when it cannot be reached', async () => {
		const fixture = createFixture();
		await runStep(fixture, createLoan(fixture), createStep(fixture, 'READ a'));
		fixture.answerMs = 100;
		const running = runStep(fixture, createLoan(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}));
		await advance(fixture.clock, 20);
		fixture.links.close('relay');
		expect(await running).toMatchObject({failure: 'relay', wasSent: true});
		expect(fixture.client.isBackingOff('relay')).toBe(true);
		expect(await runStep(fixture, createLoan(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}))).toMatchObject({failure: 'relay', wasSent: false});
	});

	test('is not sent on a link that has gone silent while it was idle', async () => {
		const fixture = createFixture();
		await runStep(fixture, createLoan(fixture), createStep(fixture, 'READ a'));
		fixture.links.silence('relay');
		await advance(fixture.clock, 1000);
		expect(await runStep(fixture, createLoan(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}))).toMatchObject({failure: 'relay', wasSent: false});
		expect(fixture.sent).toHaveLength(1);
		fixture.links.restore('relay');
		expect(await runStep(fixture, createLoan(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}))).toMatchObject({kind: 'answered'});
	});

	test('is given up soon when the link goes silent, though its deadline is far', async () => {
		const fixture = createFixture();
		await runStep(fixture, createLoan(fixture), createStep(fixture, 'READ a'));
		fixture.links.silence('relay');
		const startedAt = fixture.clock.readNow();
		const end = await runStep(fixture, createLoan(fixture), createStep(fixture, 'READ a', {deadline: startedAt + 5000}));
		expect(end).toMatchObject({failure: 'relay'});
		expect(fixture.clock.readNow() - startedAt).toBeLessThan(700);
	});

	test('that the database is slow to answer does not take the host for gone', async () => {
		const fixture = createFixture();
		fixture.answerMs = 900;
		const end = await runStep(fixture, createLoan(fixture), createStep(fixture, 'READ a', {deadline: fixture.clock.readNow() + 2000}));
		expect(end).toMatchObject({kind: 'answered'});
		expect(fixture.client.isBackingOff('relay')).toBe(false);
	});

	test('that nobody waits for any more leaves nothing behind', async () => {
		const fixture = createFixture();
		fixture.answerMs = 700;
		const loan = createLoan(fixture);
		const end = await runStep(fixture, loan, createStep(fixture, 'READ a', {begin: {isReadOnly: true}, isLast: false, deadline: fixture.clock.readNow() + 200}));
		expect(end).toMatchObject({failure: 'silent'});
		await advance(fixture.clock, 1500);
		expect(fixture.pool.countLent()).toBe(0);
	});

	test('is refused as not sent by a host that is stopping, or knows that the primary is replaced', async () => {
		const fixture = createFixture();
		fixture.isStopping = true;
		expect(await runStep(fixture, createLoan(fixture), createStep(fixture, 'WRITE a'))).toMatchObject({failure: 'relay', wasSent: false});
		expect(fixture.client.isBackingOff('relay')).toBe(true);
		fixture.isStopping = false;
		fixture.isReplaced = true;
		const primary = {group: 'g', database: 'db', term: 1};
		expect(await runStep(fixture, createLoan(fixture), createStep(fixture, 'WRITE a', {primary}))).toMatchObject({failure: 'closed', wasSent: false});
		expect(fixture.sent).toEqual([]);
	});

	test('closes a link that speaks something else', async () => {
		const fixture = createFixture();
		const link = fixture.links.createPort('stranger').connect('relay', 1);
		let isClosed = false;
		link.registerCloseListener(() => {
			isClosed = true;
		});
		link.send('GET / HTTP/1.1');
		await advance(fixture.clock, 20);
		expect(isClosed).toBe(true);
	});
});
