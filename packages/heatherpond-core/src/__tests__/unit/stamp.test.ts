import {describe, expect, test} from '@jest/globals';
import {
	createPlatformStamp, createRelayedStamp, decideNewerStamp, readStampAge, UNVERIFIED_STAMP,
} from '../../stamp.js';

describe('a freshness stamp', () => {
	test('ages from the instant at which the request was sent', () => {
		expect(readStampAge(createPlatformStamp(7, 1000), 1250)).toBe(250);
	});

	test('never gets younger when it is relayed', () => {
		const relayed = createRelayedStamp(7, 300, 1000);
		expect(readStampAge(relayed, 1000)).toBe(300);
		expect(readStampAge(createRelayedStamp(7, -50, 1000), 1000)).toBe(0);
	});

	test('is not replaced by a later verification of a lower log version', () => {
		const current = createPlatformStamp(9, 1000);
		expect(decideNewerStamp(current, createPlatformStamp(8, 2000))).toBe(current);
		expect(decideNewerStamp(current, createPlatformStamp(9, 2000))).toEqual({version: 9, verifiedAt: 2000});
	});

	test('has an infinite age when it was never verified', () => {
		expect(readStampAge(UNVERIFIED_STAMP, 5)).toBe(Number.POSITIVE_INFINITY);
	});
});
