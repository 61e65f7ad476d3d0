import {describe, expect, test} from '@jest/globals';
import {
	createFakeClock, createHostBlackboard, type LogEntry, type PlatformPort,
} from 'heatherpond-core';
import {readLogOnce} from '../../controllers/log-follower.js';

const ENTRIES = 100;

function createEntry(version: number): LogEntry {
	return {
		version, operationId: `o${version}`, author: 'a', writtenAt: '', change: {kind: 'keyWithdrawn', keyId: `k${version}`},
	};
}

describe('log follower', () => {
	test('applies a long page in order and in batches, and updates the stamp only after the last entry', async () => {
		const blackboard = createHostBlackboard({
			host: 'h', incarnation: '1', domain: 'd', deployment: 'x', peerAddress: 'p',
		});
		const seen: number[] = [];
		blackboard.registerListener(state => state.view.version, version => {
			seen.push(version);
			expect(blackboard.read().stamp.version).toBe(0);
		});
		const platform = {
			readEntries: async () => ({entries: Array.from({length: ENTRIES}, (_value, index) => createEntry(index + 1)), isComplete: true}),
		} as unknown as PlatformPort;
		const clock = createFakeClock(1000);
		await readLogOnce({
			blackboard, platform, clock, recordEvent: () => undefined, signal: new AbortController().signal,
		});
		expect(seen.length).toBeGreaterThan(1);
		expect(seen).toEqual(seen.toSorted((left, right) => left - right));
		expect(blackboard.read().view.version).toBe(ENTRIES);
		expect(blackboard.read().stamp).toEqual({version: ENTRIES, verifiedAt: 1000});
	});
});
