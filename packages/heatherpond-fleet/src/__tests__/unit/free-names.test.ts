import {describe, expect, test} from '@jest/globals';
import {createPositionTracker} from 'heatherpond-session';
import type {HostRecord} from '../../fleet-records.js';
import {computeOthersUsage, countTeamDemand} from '../../remote-usage.js';
import {createRelaySelectionCache} from '../../relay-selection-cache.js';
import {applyReportedPositions} from '../../shared-positions.js';

/** Names that every object has without holding them. */
const INHERITED_NAMES = ['constructor', 'toString', '__proto__', 'hasOwnProperty'];

describe('a report that does not name a team, database or host', () => {
	// Guards against limits that are no numbers, and reports that cannot be handled, because of a name that all objects inherit.
	test.each(INHERITED_NAMES)('says nothing of it when it is called "%s"', name => {
		expect(countTeamDemand([{teams: {}}, {teams: {other: 2}}], name)).toBe(0);
		const usage = {isVerified: true, teams: {}, databases: JSON.parse(`{"${name}":[3,4]}`) as Record<string, [number, number]>};
		expect(Object.entries(computeOthersUsage(usage, {isVerified: true, teams: {}, databases: {}}).databases)).toEqual([[name, [3, 4]]]);
		expect(() => {
			applyReportedPositions({echoes: {}, positions: {}}, name, () => 5, createPositionTracker());
		}).not.toThrow();
	});
});

describe('the cache of selected relays', () => {
	const [first, second] = ['host-1', 'host-2'].map((host): HostRecord => ({
		host, incarnation: 'i', address: '10.0.0.1', port: 1, domain: 'd', refreshedAt: 0,
	}));

	// Guards against statements that are sent to the relays of another database.
	test('tells databases and teams apart whose names make the same text', () => {
		const cache = createRelaySelectionCache();
		expect(cache.orderForTeam('a/b', 'c', [first!])).toEqual([first]);
		expect(cache.orderForTeam('a', 'b/c', [second!])).toEqual([second]);
	});

	test('tells hosts apart whose names make the same text', () => {
		const cache = createRelaySelectionCache();
		const one = [{...first!, host: 'a/i b', incarnation: 'i'}];
		cache.refresh(one, undefined);
		cache.findRelays('db', () => one);
		const two = [{...first!, host: 'a', incarnation: 'i'}, {...second!, host: 'b', incarnation: 'i'}];
		cache.refresh(two, undefined);
		expect(cache.findRelays('db', () => two)).toEqual(two);
	});
});
