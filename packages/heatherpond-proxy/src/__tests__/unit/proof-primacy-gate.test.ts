import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {
	applyFence, createFakeClock, createHostBlackboard, createPrimacyBlackboard, PortError,
	type PendingCommit, type DatabaseStatus, type FakeClock, type GroupRecord, type HostBlackboard, type Member, type PrimacyBlackboard, type UpstreamPort,
} from 'heatherpond-core';
import {createProofGate, type ProofGate} from '../../gates/proof-primacy-gate.js';

const TERM_LEASE_MS = 1000;
const MEMBERS = ['a', 'b', 'c'].map<Member>(name => ({
	name, host: '127.0.0.1', port: 1, domain: name, slots: 3, connections: 20,
}));
const GROUP: GroupRecord = {
	settings: {name: 'g', members: MEMBERS, durability: 'contract'}, term: 1, primary: 'a', termStarts: [{term: 1, start: 0n}], leaving: [],
};

/** Fake replicas whose responses a test triggers explicitly. */
type FakeReplicas = {readonly upstream: UpstreamPort; readonly waiting: Array<{readonly name: string; readonly answer: (change: Partial<DatabaseStatus>) => void; readonly fail: () => void}>; count: number};

function createFakeReplicas(): FakeReplicas {
	const waiting: FakeReplicas['waiting'] = [];
	const unused = async (): Promise<never> => {
		throw new PortError('not expected in this test');
	};

	const replicas: FakeReplicas = {
		waiting,
		count: 0,
		upstream: {
			raiseTerm: unused,
			promote: unused,
			follow: unused,
			readStatus: async ({name}) => new Promise<DatabaseStatus>((resolve, reject) => {
				replicas.count++;
				waiting.push({
					name,
					answer(change) {
						resolve({
							name, role: 'replica', term: 1, grantedTo: '', last: {term: 1, position: 0n}, follows: 'a', dataAgeMs: 0, ...change,
						});
					},
					fail() {
						reject(new PortError('silent'));
					},
				});
			}),
		},
	};
	return replicas;
}

let clock: FakeClock;
let blackboard: HostBlackboard;
let primacy: PrimacyBlackboard;
let replicas: FakeReplicas;
let gate: ProofGate;
let stop: AbortController;

beforeEach(() => {
	clock = createFakeClock(10_000);
	stop = new AbortController();
	blackboard = createHostBlackboard({
		host: 'h', incarnation: '1', domain: 'd', deployment: 'x', peerAddress: 'p',
	});
	blackboard.update(state => ({
		...state,
		stamp: {version: 5, verifiedAt: clock.readNow()},
		view: {
			...state.view,
			groups: {g: GROUP},
			hosts: {
				h: {
					host: 'h', incarnation: '1', domain: 'd', peerAddress: 'p', version: 3,
				},
			},
		},
	}));
	primacy = createPrimacyBlackboard(0);
	replicas = createFakeReplicas();
	gate = createProofGate({
		blackboard, primacy, upstream: replicas.upstream, clock, recordEvent: () => undefined, timings: {termLeaseMs: TERM_LEASE_MS, probeTimeoutMs: 300}, signal: stop.signal,
	});
});

afterEach(() => {
	stop.abort();
});

function createCommit(change: Partial<PendingCommit> = {}): PendingCommit {
	return {
		requestId: 'r', group: 'g', database: 'a', point: {term: 1, position: 100n}, durability: 'primary', deadline: clock.readNow() + 10_000, signal: stop.signal, ...change,
	};
}

/** Waits until continuations of settled promises have run. */
async function waitForEventLoop(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

function updateView(change: Partial<GroupRecord> = {}): void {
	blackboard.update(state => ({...state, stamp: {version: 9, verifiedAt: clock.readNow()}, view: {...state.view, groups: {g: {...GROUP, ...change}}}}));
}

describe('lease proof', () => {
	test('is granted immediately while the lease is valid, without a request to a replica', async () => {
		await expect(gate.waitForProof(createCommit())).resolves.toBe('lease');
		expect(replicas.count).toBe(0);
	});

	test('expires when the process pauses between proof and acknowledgement', async () => {
		const commit = createCommit();
		await expect(gate.waitForProof(commit)).resolves.toBe('lease');
		expect(gate.isStillProven(commit, 'lease')).toBe(true);
		clock.advanceBy(TERM_LEASE_MS);
		expect(gate.isStillProven(commit, 'lease')).toBe(false);
	});

	test('is granted again after a paused process has verified its view', async () => {
		clock.advanceBy(5 * TERM_LEASE_MS);
		const proof = gate.waitForProof(createCommit());
		await waitForEventLoop();
		expect(gate.countPending('g')).toBe(1);
		updateView();
		await expect(proof).resolves.toBe('lease');
	});

	test('is refused after a promotion that happened while the process was paused', async () => {
		clock.advanceBy(5 * TERM_LEASE_MS);
		const proof = gate.waitForProof(createCommit());
		updateView({term: 2, primary: 'b', termStarts: [...GROUP.termStarts, {term: 2, start: 50n}]});
		await expect(proof).rejects.toMatchObject({reason: 'replaced'});
	});

	test('is not granted below the term up to which the host is fenced by a promoter', async () => {
		primacy.update(state => applyFence(state, 'g', 2));
		const proof = gate.waitForProof(createCommit());
		await waitForEventLoop();
		expect(gate.countPending('g')).toBe(1);
		replicas.waiting.find(request => request.name === 'b')!.answer({last: {term: 1, position: 100n}});
		await expect(proof).resolves.toBe('replica');
	});
});

describe('replica proof', () => {
	test('is required with durability "replica" even while the lease is valid', async () => {
		const proof = gate.waitForProof(createCommit({durability: 'replica'}));
		await waitForEventLoop();
		replicas.waiting.find(request => request.name === 'c')!.answer({last: {term: 1, position: 100n}});
		await expect(proof).resolves.toBe('replica');
	});

	test('is required if the group demands it, regardless of the contract', async () => {
		updateView({settings: {...GROUP.settings, durability: 'replica'}});
		void gate.waitForProof(createCommit()).catch(() => undefined);
		await waitForEventLoop();
		expect(gate.countPending('g')).toBe(1);
	});

	test('one response proves all commits that arrived before its request and none that arrived later', async () => {
		const first = [90n, 100n].map(async position => gate.waitForProof(createCommit({durability: 'replica', point: {term: 1, position}})));
		await waitForEventLoop();
		expect(replicas.count).toBe(2);
		clock.advanceBy(1);
		const late = gate.waitForProof(createCommit({durability: 'replica'}));
		const [request] = replicas.waiting;
		request!.answer({last: {term: 1, position: 100n}});
		await expect(Promise.all(first)).resolves.toEqual(['replica', 'replica']);
		await waitForEventLoop();
		expect(gate.countPending('g')).toBe(1);
		replicas.waiting.at(-1)!.answer({last: {term: 1, position: 100n}});
		await expect(late).resolves.toBe('replica');
	});

	test('a response to a request sent before a pause of the process proves nothing', async () => {
		const proof = gate.waitForProof(createCommit({durability: 'replica', deadline: clock.readNow() + (4 * TERM_LEASE_MS)}));
		await waitForEventLoop();
		clock.advanceBy(2 * TERM_LEASE_MS);
		replicas.waiting.forEach(request => {
			request.answer({last: {term: 1, position: 100n}});
		});
		await waitForEventLoop();
		expect(gate.countPending('g')).toBe(1);
		clock.advanceBy(2 * TERM_LEASE_MS);
		await expect(proof).rejects.toMatchObject({reason: 'timeout'});
	});

	test('replicas that fail or hold a later term prove nothing, and the wait times out', async () => {
		const proof = gate.waitForProof(createCommit({durability: 'replica', deadline: clock.readNow() + 100}));
		await waitForEventLoop();
		replicas.waiting[0]!.fail();
		replicas.waiting[1]!.answer({term: 2, last: {term: 1, position: 100n}});
		await waitForEventLoop();
		clock.advanceBy(100);
		await expect(proof).rejects.toMatchObject({reason: 'timeout'});
	});

	test('the wait ends when the client disconnects', async () => {
		const client = new AbortController();
		const proof = gate.waitForProof(createCommit({durability: 'replica', signal: client.signal}));
		client.abort();
		await expect(proof).rejects.toMatchObject({reason: 'aborted'});
		expect(gate.countPending('g')).toBe(0);
	});
});
