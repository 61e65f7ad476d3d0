import {describe, expect, test} from '@jest/globals';
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	createConnectionPool, createExpiredError, createMessageMemory, type ConnectionHandle, type StepResult, type UpstreamResponse, type UpstreamCommand, type UpstreamConnection, type ConnectionStep,
} from 'heatherpond-session';
import {
	createRelayClient, selectRelays, isRelayRequired, orderRelaysForTeam, startRelayServer, type HostRecord, type RelayClient, type RelayServer,
} from '../../index.js';
import {createMemoryLinks, type MemoryLinks} from '../../memory-links.js';
import {advance} from '../support/steps.js';

const RELAY: HostRecord = {
	host: 'relay', incarnation: 'run-1', domain: 'd', address: 'relay', port: 1, refreshedAt: 0,
};
const ANSWER_MS = 10;
const MEMORY_BYTES = 1_000_000;

type Fixture = {
	readonly clock: FakeClock;
	readonly links: MemoryLinks;
	readonly client: RelayClient;
	readonly server: RelayServer;
	/** Commands sent to the database, with the number of the connection. */
	readonly sent: Array<{readonly connection: number; readonly command: UpstreamCommand}>;
	readonly failures: string[];
	readonly pool: ReturnType<typeof createConnectionPool>;
	/** Time that the database takes to answer, in milliseconds. */
	answerMs: number;
	isReplaced: boolean;
	isStopping: boolean;
	/** When the relay last noticed a suspension. */
	clockValidFrom: number;
	refuses: (command: UpstreamCommand) => boolean;
	/** Responds to a command. */
	formatBody: (command: UpstreamCommand) => string;
};

function createFixture(): Fixture {
	const clock = createFakeClock(1000);
	const links = createMemoryLinks(clock);
	const memory = createMessageMemory(MEMORY_BYTES);
	let connections = 0;

	function createConnection(team: string): UpstreamConnection {
		connections++;
		const connection = connections;
		let isOpen = true;
		let state: UpstreamResponse['state'] = 'idle';
		let listeners: Array<() => void> = [];
		return {
			database: 'db', team, isOpen: () => isOpen,
			async exchange(commands, deadline) {
				if (clock.readNow() >= deadline) {
					throw createExpiredError();
				}

				await new Promise<void>(resolve => {
					clock.registerTimer(clock.readNow() + fixture.answerMs, resolve);
				});
				return commands.map((command): UpstreamResponse => {
					fixture.sent.push({connection, command});
					if (fixture.refuses(command)) {
						return {body: 'ERROR', outcome: {kind: 'error', code: 'lagging'}, state};
					}

					state = command.kind === 'begin' ? 'open' : state;
					const isEnd = command.kind === 'rollback' || (command.kind === 'forward' && command.text === 'COMMIT');
					state = isEnd ? 'idle' : state;
					return {
						body: fixture.formatBody(command), outcome: {kind: 'complete'}, state, point: {term: 3, position: 12_345_678_901_234_567_890n},
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
		clock, readMaxConnections: () => 4, isDraining: () => false, random: () => 0, writeEvent: () => undefined, open: async team => createConnection(team),
	});
	const server = startRelayServer({
		clock, links: links.createPort('relay'), memory, random: () => 0.5, acquire: async (_database, request) => pool.acquire(request),
		recordFailure(_database, reason) {
			fixture.failures.push(reason);
		},
		isReplaced: () => fixture.isReplaced, isStopping: () => fixture.isStopping, readClockValidFrom: () => fixture.clockValidFrom, writeEvent: () => undefined,
	});
	const fixture: Fixture = {
		clock, links, server, pool, sent: [], failures: [], answerMs: ANSWER_MS, isReplaced: false, isStopping: false, clockValidFrom: 0, refuses: () => false, formatBody: ({kind}) => `DATAROW ${kind}\r\n`,
		client: createRelayClient({clock, links: links.createPort('asker'), writeEvent: () => undefined}),
	};
	return fixture;
}

function createHandle({client, clock}: Fixture): ConnectionHandle {
	return client.createHandle(RELAY, 'db', {
		team: 'team', priority: 1, variables: new Map(), deadline: clock.readNow() + 1000, signal: new AbortController().signal,
	});
}

function createStep({clock}: Fixture, text: string, change: Partial<ConnectionStep> = {}): ConnectionStep {
	return {
		command: {kind: 'forward', id: 'id-1', text}, isSentOnce: false, isLast: true, deadline: clock.readNow() + 500, ...change,
	};
}

/** Runs a step and advances the clock until it has ended. */
async function runStep({clock}: Fixture, handle: ConnectionHandle, step: ConnectionStep): Promise<StepResult | Error> {
	const settled = handle.run(step).catch((error: unknown) => error as Error);
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

describe('relay selection', () => {
	const hosts = Array.from({length: 72}, (_, index) => ({host: `host-${index}`, domain: `domain-${index % 6}`}));
	const criteria = {
		database: 'db', domain: 'domain-2', hosts, readRegion: (domain: string) => domain,
	};

	test('uses relays only when the limit allows fewer than two connections per host', () => {
		expect(isRelayRequired({connections: 43, hosts, teams: 1})).toBe(true);
		expect(isRelayRequired({connections: 143, hosts, teams: 1})).toBe(true);
		expect(isRelayRequired({connections: 144, hosts, teams: 1})).toBe(false);
		expect(isRelayRequired({connections: 575, hosts, teams: 78})).toBe(true);
		expect(isRelayRequired({connections: 576, hosts, teams: 78})).toBe(false);
		expect(isRelayRequired({connections: 17, hosts: hosts.slice(0, 7), teams: 8})).toBe(true);
		expect(isRelayRequired({connections: 17, hosts: hosts.slice(0, 7), teams: 2})).toBe(false);
	});

	test('selects a few hosts in the domain of the database, independent of the order of hosts', () => {
		const relays = selectRelays({...criteria, connections: 43});
		expect(relays).toHaveLength(4);
		expect(relays.every(({domain}) => domain === 'domain-2')).toBe(true);
		expect(selectRelays({...criteria, connections: 43, hosts: hosts.toReversed()})).toEqual(relays);
		expect(selectRelays({...criteria, connections: 9})).toHaveLength(2);
		expect(selectRelays({...criteria, connections: 9, domain: 'elsewhere'})).toHaveLength(2);
		expect(selectRelays({...criteria, connections: 1})).toHaveLength(1);
	});

	test('spreads teams over the relays, and moves only the teams of a removed relay', () => {
		const relays = selectRelays({...criteria, connections: 43});
		const teams = Array.from({length: 80}, (_, index) => `team-${index}`);
		const before = teams.map(team => orderRelaysForTeam(relays, team)[0]!.host);
		const counts = relays.map(({host}) => before.filter(chosen => chosen === host).length);
		expect(Math.max(...counts)).toBeLessThan(40);
		const rest = relays.slice(1);
		const after = teams.map(team => orderRelaysForTeam(rest, team)[0]!.host);
		expect(after.filter((host, index) => host !== before[index])).toHaveLength(counts[0]!);
	});
});

describe('a relay that stops', () => {
	// Guards against statements of other hosts' clients that wait at the relay until it ends, and are in doubt then.
	test('hands back what waits for a connection, as not sent, and lets the others end', async () => {
		const fixture = createFixture();
		fixture.answerMs = 200;
		const running = Array.from({length: 4}, async () => runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a')));
		await advance(fixture.clock, 20);
		const waiting = runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE b', {isSentOnce: true}));
		await advance(fixture.clock, 20);
		const stoppedAt = fixture.clock.readNow();
		fixture.isStopping = true;
		fixture.server.startShutdown();
		expect(await waiting).toMatchObject({failure: 'relay', wasSent: false});
		expect(fixture.clock.readNow() - stoppedAt).toBeLessThan(50);
		expect(fixture.client.isBackingOff(RELAY)).toBe(true);
		expect(await Promise.all(running)).toEqual(Array.from({length: 4}, () => expect.objectContaining({kind: 'answered'})));
		expect(fixture.failures).toEqual(['cancelled']);
	});
});

describe('a step sent through a relay', () => {
	test('returns the answer of the database unchanged and releases the connection', async () => {
		const fixture = createFixture();
		const handle = createHandle(fixture);
		const end = await runStep(fixture, handle, createStep(fixture, 'READ a'));
		expect(end).toMatchObject({kind: 'answered', answer: {body: 'DATAROW forward\r\n', state: 'idle', point: {position: 12_345_678_901_234_567_890n}}});
		expect(fixture.pool.countInUse()).toBe(0);
		const texts = fixture.links.countSentTo('relay');
		handle.release();
		expect(fixture.links.countSentTo('relay')).toBe(texts);
	});

	// Guards against a link that is closed for all clients, because one of them sends or gets more than it carries.
	test.each<[string, string, Partial<ConnectionStep>, string]>([
		['is sent', 'DATAROW x\r\n', {needs: {variables: new Map([['large', '\u0000'.repeat(2_000_000)]])}}, 'unsendable'],
		['is answered', `DATAROW ${'\u0000'.repeat(2_000_000)}\r\n`, {}, 'no_memory'],
	])('fails alone when more %s than a link carries', async (_, body, change, failure) => {
		const fixture = createFixture();
		fixture.formatBody = command => command.kind === 'forward' && command.text === 'READ small' ? 'DATAROW small\r\n' : body;
		fixture.answerMs = 100;
		const small = runStep(fixture, createHandle(fixture), createStep(fixture, 'READ small'));
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ large', change))).toMatchObject({failure, wasSent: failure === 'no_memory'});
		expect(await small).toMatchObject({kind: 'answered', answer: {body: 'DATAROW small\r\n'}});
	});

	test('reuses an idle connection of the same team', async () => {
		const fixture = createFixture();
		await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a'));
		await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ b'));
		expect(fixture.sent.map(({connection}) => connection)).toEqual([1, 1]);
	});

	test('runs all steps of a transaction on one connection, whose variables are set once', async () => {
		const fixture = createFixture();
		const handle = createHandle(fixture);
		const needs = {variables: new Map([['zone', 'utc']])};
		await runStep(fixture, handle, createStep(fixture, 'WRITE a', {needs, begin: {isReadOnly: false}, isLast: false}));
		await runStep(fixture, handle, createStep(fixture, 'WRITE b', {needs, isLast: false}));
		const end = await runStep(fixture, handle, createStep(fixture, 'COMMIT'));
		expect(end).toMatchObject({kind: 'answered', answer: {state: 'idle'}});
		expect(fixture.sent.map(({command}) => command.kind)).toEqual(['set', 'begin', 'forward', 'forward', 'forward']);
		expect(new Set(fixture.sent.map(({connection}) => connection)).size).toBe(1);
		expect(fixture.pool.countInUse()).toBe(0);
	});

	test('reports a refused begin of a transaction and keeps the connection idle in the pool', async () => {
		const fixture = createFixture();
		fixture.refuses = ({kind}) => kind === 'begin';
		const handle = createHandle(fixture);
		const end = await runStep(fixture, handle, createStep(fixture, 'READ a', {begin: {isReadOnly: true}}));
		expect(end).toMatchObject({kind: 'refused', answer: {state: 'idle'}});
		handle.release();
		await advance(fixture.clock, 20);
		expect(fixture.pool.countInUse()).toBe(0);
		expect(fixture.pool.hasIdle('team')).toBe(true);
	});

	test('is rolled back when the host that sent it aborts the transaction, and when the link closes', async () => {
		const fixture = createFixture();
		const first = createHandle(fixture);
		await runStep(fixture, first, createStep(fixture, 'WRITE a', {begin: {isReadOnly: false}, isLast: false}));
		first.release();
		await advance(fixture.clock, 50);
		expect(fixture.sent.at(-1)!.command.kind).toBe('rollback');
		const second = createHandle(fixture);
		await runStep(fixture, second, createStep(fixture, 'WRITE a', {begin: {isReadOnly: false}, isLast: false}));
		fixture.links.close('relay');
		await advance(fixture.clock, 50);
		expect(fixture.sent.filter(({command}) => command.kind === 'rollback')).toHaveLength(2);
		expect(fixture.pool.countInUse()).toBe(0);
	});

	test('fails with wasSent when the relay disconnects while it runs, and without wasSent when the relay is unreachable', async () => {
		const fixture = createFixture();
		await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a'));
		fixture.answerMs = 100;
		const running = runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}));
		await advance(fixture.clock, 20);
		fixture.links.close('relay');
		expect(await running).toMatchObject({failure: 'relay', wasSent: true});
		expect(fixture.client.isBackingOff(RELAY)).toBe(true);
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}))).toMatchObject({failure: 'relay', wasSent: false});
	});

	// Guards against one client's message that ends the link of all others.
	test('whose message is too long for the link fails alone, with a response that is too long as well', async () => {
		const fixture = createFixture();
		const other = createHandle(fixture);
		await runStep(fixture, other, createStep(fixture, 'READ a', {begin: {isReadOnly: true}, isLast: false}));
		const text = '\u0001'.repeat(1_500_000);
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, text, {isSentOnce: true}))).toMatchObject({failure: 'unsendable', wasSent: false});
		fixture.formatBody = () => text;
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ b'))).toMatchObject({failure: 'no_memory', wasSent: true});
		fixture.formatBody = ({kind}) => `DATAROW ${kind}\r\n`;
		expect(await runStep(fixture, other, createStep(fixture, 'COMMIT'))).toMatchObject({kind: 'answered'});
	});

	// Guards against a write that is told as in doubt although nothing was sent.
	test('is refused without wasSent when it executes a statement that it does not name', async () => {
		const fixture = createFixture();
		const result = await runStep(fixture, createHandle(fixture), createStep(fixture, '', {command: {kind: 'execute', id: 'id-1', arguments: 'a'}}));
		expect(result).toMatchObject({failure: 'unsendable', wasSent: false});
		expect(fixture.sent).toEqual([]);
	});

	// Guards against a relay that ends at its heap limit because many hosts send it large statements at once.
	test('is refused by a relay that has no memory for it, while small ones run', async () => {
		const fixture = createFixture();
		await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE first'));
		fixture.answerMs = 100;
		const large = ['a', 'b', 'c', 'd'].map(async name => runStep(fixture, createHandle(fixture), createStep(fixture, `WRITE ${name} ${'x'.repeat(400_000)}`, {isSentOnce: true})));
		const small = runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE small'));
		expect(await Promise.all(large)).toMatchObject([{kind: 'answered'}, {kind: 'answered'}, {failure: 'overloaded', wasSent: false}, {failure: 'overloaded', wasSent: false}]);
		expect(await small).toMatchObject({kind: 'answered'});
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, `WRITE c ${'x'.repeat(400_000)}`))).toMatchObject({kind: 'answered'});
	});

	// Guards against a write that takes effect after its client was told that its outcome is unknown, and wrote again.
	test('is not run by a relay that stood still until the deadline had passed', async () => {
		const fixture = createFixture();
		await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}));
		fixture.links.hold('relay');
		const late = runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE late', {isSentOnce: true}));
		expect(await late).toMatchObject({failure: 'relay', wasSent: true});
		await advance(fixture.clock, 1000);
		await fixture.links.wake('relay');
		await advance(fixture.clock, 200);
		expect(fixture.sent.map(({command}) => command.kind === 'forward' ? command.text : command.kind)).toEqual(['WRITE a']);
		expect(fixture.pool.countInUse()).toBe(0);
	});

	test('is not run by a relay whose clock stood still as well, in a suspension', async () => {
		const fixture = createFixture();
		await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}));
		fixture.clockValidFrom = fixture.clock.readNow() + 1;
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE late', {isSentOnce: true}))).toMatchObject({failure: 'expired', wasSent: false});
		await advance(fixture.clock, 10);
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE b', {isSentOnce: true}))).toMatchObject({kind: 'answered'});
		expect(fixture.sent.map(({command}) => command.kind === 'forward' ? command.text : command.kind)).toEqual(['WRITE a', 'WRITE b']);
	});

	test('is not sent on an idle link that has become unresponsive', async () => {
		const fixture = createFixture();
		await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a'));
		fixture.links.silence('relay');
		await advance(fixture.clock, 1000);
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}))).toMatchObject({failure: 'relay', wasSent: false});
		expect(fixture.sent).toHaveLength(1);
		fixture.links.restore('relay');
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE a', {isSentOnce: true}))).toMatchObject({kind: 'answered'});
	});

	test('fails long before its deadline when the link becomes unresponsive', async () => {
		const fixture = createFixture();
		await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a'));
		fixture.links.silence('relay');
		const startedAt = fixture.clock.readNow();
		const end = await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a', {deadline: startedAt + 5000}));
		expect(end).toMatchObject({failure: 'relay'});
		expect(fixture.clock.readNow() - startedAt).toBeLessThan(700);
	});

	test('waits for a slow database without backing off from the relay', async () => {
		const fixture = createFixture();
		fixture.answerMs = 900;
		const end = await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a', {deadline: fixture.clock.readNow() + 2000}));
		expect(end).toMatchObject({kind: 'answered'});
		expect(fixture.client.isBackingOff(RELAY)).toBe(false);
	});

	test('that times out leaves no connection in use on the relay', async () => {
		const fixture = createFixture();
		fixture.answerMs = 700;
		const handle = createHandle(fixture);
		const end = await runStep(fixture, handle, createStep(fixture, 'READ a', {begin: {isReadOnly: true}, isLast: false, deadline: fixture.clock.readNow() + 200}));
		expect(end).toMatchObject({failure: 'silent'});
		await advance(fixture.clock, 1500);
		expect(fixture.pool.countInUse()).toBe(0);
	});

	test('is refused without wasSent by a relay that is shutting down or knows that the primary is replaced', async () => {
		const fixture = createFixture();
		fixture.isStopping = true;
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE a'))).toMatchObject({failure: 'relay', wasSent: false});
		expect(fixture.client.isBackingOff(RELAY)).toBe(true);
		fixture.isStopping = false;
		fixture.isReplaced = true;
		const primary = {group: 'g', database: 'db', term: 1};
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'WRITE a', {primary}))).toMatchObject({failure: 'closed', wasSent: false});
		expect(fixture.sent).toEqual([]);
	});

	test('closes the link when it receives a message of another protocol', async () => {
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

	test('keeps the work on a link when this host learns later that the relay has restarted', async () => {
		const fixture = createFixture();
		fixture.answerMs = 100;
		const running = createHandle(fixture).run(createStep(fixture, 'READ 1')).catch((error: unknown) => error);
		await advance(fixture.clock, 20);
		const next = fixture.client.createHandle({...RELAY, incarnation: 'run-2'}, 'db', {
			team: 'team', priority: 1, variables: new Map(), deadline: fixture.clock.readNow() + 1000, signal: new AbortController().signal,
		});
		const result = next.run(createStep(fixture, 'READ 2'));
		expect(fixture.client.isBackingOff(RELAY)).toBe(false);
		await advance(fixture.clock, 400);
		expect(await running).toMatchObject({kind: 'answered'});
		expect(await result).toMatchObject({kind: 'answered'});
	});

	test('does not use a failed relay again before it has answered a ping', async () => {
		const fixture = createFixture();
		await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a'));
		fixture.links.silence('relay');
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a'))).toMatchObject({failure: 'relay'});
		const sentBefore = fixture.links.countSentTo('relay');
		await advance(fixture.clock, 9000, () => {
			expect(fixture.client.isBackingOff(RELAY)).toBe(true);
		});
		// Pings after 1, 2 and 4 seconds.
		expect(fixture.links.countSentTo('relay') - sentBefore).toBeLessThanOrEqual(4);
		fixture.links.restore('relay');
		await advance(fixture.clock, 4500, () => {
			fixture.client.isBackingOff(RELAY);
		});
		expect(fixture.client.isBackingOff(RELAY)).toBe(false);
		expect(await runStep(fixture, createHandle(fixture), createStep(fixture, 'READ a'))).toMatchObject({kind: 'answered'});
	});
});
