import {Buffer} from 'node:buffer';
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createPositionTracker} from 'heatherpond-session';
import {applyConfirmation, applySuspicion} from '../../apply-fleet-update.js';
import {
	CONFIRMATION_PREFIX, PRIMACY_PREFIX, type HostRecord, type SuspicionRecord,
} from '../../fleet-records.js';
import {EMPTY_FLEET_STATE, type FleetState} from '../../fleet-state.js';
import {isConfirmed} from '../../promotion-decisions.js';
import {formatGroupHostKey, formatRowKey, MAX_ROW_KEY_BYTES} from '../../row-keys.js';
import {computeOthersUsage, countTeamDemand} from '../../remote-usage.js';
import {createRelaySelectionCache} from '../../relay-selection-cache.js';
import {applyReportedPositions} from '../../shared-positions.js';

const SEED = 20_261_206;

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

describe('keys made of the names of groups and hosts', () => {
	const suspicion: Omit<SuspicionRecord, 'group' | 'host'> = {incarnation: 'i', database: 'db-1', term: 1};

	// Guards against a suspicion or confirmation that replaces the one of another host.
	test('tell groups and hosts apart whose names make the same text', () => {
		const names = [['a', 'b/c'], ['a/b', 'c'], ['a%2Fb', 'c'], ['a', 'b%2Fc']] as const;
		const suspected = names.reduce<FleetState>((state, [group, host]) => applySuspicion(state, {...suspicion, group, host}, true), EMPTY_FLEET_STATE);
		expect(suspected.suspicions.size).toBe(names.length);
		const confirmed = names.reduce<FleetState>((state, [group, host], index) => applyConfirmation(state, {group, host, promotionId: `p${index}`}), EMPTY_FLEET_STATE);
		const promotion = {id: 'p0', isPlanned: false, reason: 'silent'};
		expect(isConfirmed(confirmed, {group: 'a', term: 1, promotion}, ['b/c'])).toBe(true);
	});

	test('are short enough for the store, and differ whenever the names do', () => {
		const name = fc.oneof(fc.string({unit: fc.constantFrom('a', '/', '%', '=', '例'), maxLength: 6}), fc.string({minLength: 150, maxLength: 200, unit: fc.constantFrom('a', '例')}));
		fc.assert(fc.property(fc.tuple(name, name), fc.tuple(name, name), (left, right) => {
			const [leftKey, rightKey] = [left, right].map(([group, host]) => `${CONFIRMATION_PREFIX}${formatGroupHostKey(group, host)}`) as [string, string];
			expect(Buffer.byteLength(leftKey)).toBeLessThanOrEqual(MAX_ROW_KEY_BYTES);
			expect(leftKey === rightKey).toBe(left[0] === right[0] && left[1] === right[1]);
			expect(Buffer.byteLength(formatRowKey(PRIMACY_PREFIX, left[0]))).toBeLessThanOrEqual(MAX_ROW_KEY_BYTES);
			expect(formatRowKey(PRIMACY_PREFIX, left[0]) === formatRowKey(PRIMACY_PREFIX, right[0])).toBe(left[0] === right[0]);
		}), {seed: SEED, numRuns: 1000});
	});

	test('are those of before for ordinary names', () => {
		expect(formatRowKey(PRIMACY_PREFIX, 'group-1')).toBe('primacy/group-1');
		expect(formatGroupHostKey('group-1', 'host_1.example')).toBe('group-1/host_1.example');
	});
});
