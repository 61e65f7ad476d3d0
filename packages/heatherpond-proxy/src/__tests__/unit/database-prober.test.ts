import {setImmediate} from 'node:timers/promises';
import {describe, expect, test} from '@jest/globals';
import {
	createFakeClock, createHostBlackboard, createPrimacyBlackboard, type GroupRecord, type Member, type UpstreamPort,
} from 'heatherpond-core';
import {startDatabaseProber} from '../../controllers/database-prober.js';

const SECONDS = 10;
const GROUPS = ['watched', ...Array.from({length: 9}, (_value, index) => `other-${index}`)];

function createGroup(name: string): GroupRecord {
	const member: Member = {
		name: `${name}-a`, host: 'x', port: 1, domain: 'd', slots: 1, connections: 1,
	};
	return {
		settings: {name, durability: 'contract', members: [member]}, term: 1, primary: member.name, termStarts: [], leaving: [],
	};
}

/** Runs the prober for `SECONDS` of a fake clock and counts the probes of each database. */
async function countProbes(): Promise<Map<string, number>> {
	const counts = new Map<string, number>();
	const clock = createFakeClock(0);
	const blackboard = createHostBlackboard({
		host: 'h', incarnation: '1', domain: 'd', deployment: 'x', peerAddress: 'p',
	});
	blackboard.update(state => ({...state, view: {...state.view, groups: Object.fromEntries(GROUPS.map(name => [name, createGroup(name)]))}}));
	const stop = new AbortController();
	const upstream = {
		async readStatus(member: Member) {
			counts.set(member.name, (counts.get(member.name) ?? 0) + 1);
			return {
				name: member.name, role: 'primary', term: 1, grantedTo: '', last: {term: 1, position: 0n}, follows: '', dataAgeMs: 0,
			};
		},
	} as unknown as UpstreamPort;
	startDatabaseProber({
		blackboard, primacy: createPrimacyBlackboard(0), upstream, clock, timings: {probeIntervalMs: 50, probeTimeoutMs: 100}, monitors: {isMonitor: group => group === 'watched'}, signal: stop.signal,
	});
	for (let step = 0; step < SECONDS * 100; step++) {
		// Lets pending responses arrive before the clock advances.
		await setImmediate();
		clock.advanceBy(10);
	}

	stop.abort();
	return counts;
}

describe('database prober', () => {
	test('probes databases of monitored groups often and shares a low rate among all others', async () => {
		const counts = await countProbes();
		expect(counts.get('watched-a')).toBeGreaterThanOrEqual(SECONDS * 10);
		const others = GROUPS.slice(1).map(name => counts.get(`${name}-a`) ?? 0);
		expect(Math.min(...others)).toBeGreaterThan(0);
		expect(others.reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual((SECONDS * 20) + others.length);
	});
});
