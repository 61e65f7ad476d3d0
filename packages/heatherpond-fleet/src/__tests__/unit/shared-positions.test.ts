import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createPositionTracker} from 'heatherpond-session';
import {applyReportedPositions, createReportedPositions, createReportEchoes} from '../../index.js';
import {advance} from '../support/steps.js';
import {createTestFleet, GROUP, type TestHost} from '../support/test-fleet.js';

const MAX_STALENESS_MS = 1500;

describe('applyReportedPositions', () => {
	test('never dates a position later than it was seen, whatever the delays and the clocks', () => {
		fc.assert(fc.property(fc.record({
			sentAt: fc.integer({min: 0, max: 5000}), delayMs: fc.integer({min: 0, max: 3000}), seenAfterMs: fc.integer({min: -2000, max: 2000}), createdAfterMs: fc.integer({min: 0, max: 2000}),
			backMs: fc.integer({min: 0, max: 3000}), offsetMs: fc.integer({min: -100_000, max: 100_000}),
		}), ({sentAt, delayMs, seenAfterMs, createdAfterMs, offsetMs}) => {
			// All instants are of one true clock; the reporting host reads it with an offset.
			const receivedAt = sentAt + delayMs;
			const createdAt = receivedAt + createdAfterMs;
			const seenAt = Math.min(createdAt, receivedAt + seenAfterMs);
			const reporter = createPositionTracker();
			reporter.recordPrimaryPosition('g', 1, {term: 1, position: 7n}, seenAt + offsetMs);
			const report = {
				positions: createReportedPositions(reporter, createdAt + offsetMs),
				echoes: createReportEchoes([{report: {host: 'own', incarnation: 'run', sequence: 3}, receivedAt: receivedAt + offsetMs}], createdAt + offsetMs),
			};
			const receiver = createPositionTracker();
			applyReportedPositions(report, 'own', ({incarnation, sequence}) => incarnation === 'run' && sequence === 3 ? sentAt : undefined, receiver);
			const dated = receiver.readNewest().map(({seenAt: at}) => at);
			expect(dated.every(at => at <= seenAt)).toBe(true);
			expect(dated).toHaveLength(Object.keys(report.positions).length);
		}));
	});

	test('ignores a report that echoes nothing of this run', () => {
		const receiver = createPositionTracker();
		const positions = {g: [1, '7', 5] as [number, string, number]};
		applyReportedPositions({positions}, 'own', () => 100, receiver);
		applyReportedPositions({positions, echoes: {own: ['earlier run', 3, 5]}}, 'own', () => undefined, receiver);
		expect(receiver.readNewest()).toEqual([]);
	});
});

describe('a host that was suspended for a time that its clock has not measured', () => {
	test('forgets positions, which are older than they seem', async () => {
		const fleet = createTestFleet(['host-1', 'host-2']);
		await advance(fleet.clock, 3000);
		const [suspended] = fleet.hosts;
		const {access, positions} = suspended!.host.sessions;
		positions.recordPrimaryPosition(GROUP, 1, {term: 1, position: 7n}, fleet.clock.readNow());
		expect(positions.readNewest()).toHaveLength(1);
		suspended!.wasSuspended = true;
		access.decideAccess('shop', 'key');
		expect(positions.readNewest()).toEqual([]);
		fleet.stop();
	});
});

describe('a domain of many hosts', () => {
	test('names in each report and digest only the last report of its receiver', async () => {
		const fleet = createTestFleet(Array.from({length: 20}, (_, index) => `host-${index + 10}`));
		await advance(fleet.clock, 6000);
		const recent = fleet.datagrams.filter(({at}) => at > fleet.clock.readNow() - 1000).flatMap(({text}) => text.split('\n'));
		const echoes = recent.flatMap(text => /"kind":"(?:usage|digest)"/v.test(text) ? [/"echoes":\{([^\}]*)\}/v.exec(text)?.[1] ?? ''] : []);
		fleet.stop();
		expect(echoes.length).toBeGreaterThan(20);
		expect(echoes.every(text => text.split('],').length <= 1)).toBe(true);
	});

	/** The load: one host hears from the primary every 100 ms, the others have no statement for it. */
	test('lets every host read from replicas by the position that one of them has seen', async () => {
		const names = Array.from({length: 8}, (_, index) => `host-${index + 1}`);
		const fleet = createTestFleet(names);
		await advance(fleet.clock, 4000);
		let known = 0;
		let asked = 0;
		function hasRecentPosition({host}: TestHost): boolean {
			return host.sessions.positions.findPositionAsOf(GROUP, 1, fleet.clock.readNow() - MAX_STALENESS_MS) !== undefined;
		}

		let nextAt = fleet.clock.readNow();
		await advance(fleet.clock, 6000, () => {
			const now = fleet.clock.readNow();
			if (now >= nextAt) {
				nextAt += 100;
				fleet.hosts[4]!.host.sessions.positions.recordPrimaryPosition(GROUP, 1, {term: 1, position: BigInt(Math.floor(now))}, now);
			}

			if (now > 8000) {
				known += fleet.hosts.filter(hasRecentPosition).length;
				asked += fleet.hosts.length;
			}
		});
		fleet.stop();
		expect(known / asked).toBeGreaterThan(0.6);
	});
});
