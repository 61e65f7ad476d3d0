import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {findChangeError} from '../../change-check.js';
import {contractSchema, type GroupSettings} from '../../contract.js';
import {
	applyLogEntry, EMPTY_FLEET_VIEW, type FleetView, type KeyRecord,
} from '../../fleet-view.js';
import {
	decodeLogEntry, encodeLogEntry, type Change, type LogEntry,
} from '../../log-entry.js';

const SEED = 20_261_203;
const HASH = 'a'.repeat(64);

function createEntry(version: number, change: Change): LogEntry {
	return {
		version, operationId: `operation-${version}`, author: 'nomsa', writtenAt: '2026-12-03T00:00:00.000Z', change,
	};
}

function createView(...changes: readonly Change[]): FleetView {
	return changes.reduce((view, change) => applyLogEntry(view, createEntry(view.version + 1, change)), EMPTY_FLEET_VIEW);
}

function createGroup(...members: readonly string[]): GroupSettings {
	return {
		name: 'bookings',
		durability: 'contract',
		members: members.map((name, index) => ({
			name, host: '10.0.0.1', port: 5432 + index, domain: 'jhb-a', slots: 3, connections: 20,
		})),
	};
}

function createContract(team: string): Change {
	return {
		kind: 'contractApplied', contract: contractSchema.parse({
			team, routes: ['r'], rate: 1, burst: 1,
		}),
	};
}

function createKey(keyId: string, keyHash = HASH, team = 'durban'): Change {
	return {
		kind: 'keyGiven', team, keyId, keyHash,
	};
}

const GROUP: Change = {kind: 'groupApplied', group: createGroup('one', 'two')};
const PRIMARY: Change = {
	kind: 'promotionEnded', group: 'bookings', term: 1, primary: 'one', start: 0n,
};

function isEndedAfterGiven(changes: readonly Change[], {keyId, team}: KeyRecord): boolean {
	const given = changes.findLastIndex(item => item.kind === 'keyGiven' && item.keyId === keyId);
	const ended = changes.findLastIndex(item => (item.kind === 'keyWithdrawn' && item.keyId === keyId) || (item.kind === 'contractRemoved' && item.team === team));
	return ended > given;
}

describe('applyLogEntry', () => {
	test('a withdrawn key becomes valid again only through an entry that gives it', () => {
		const withdrawn = createView(createContract('durban'), createKey('durban-1'), {kind: 'keyWithdrawn', keyId: 'durban-1'}, createContract('durban'));
		expect(withdrawn.keys[HASH]).toMatchObject({isWithdrawn: true});
		const given = applyLogEntry(withdrawn, createEntry(withdrawn.version + 1, createKey('durban-2')));
		expect(given.keys[HASH]).toMatchObject({keyId: 'durban-2', isWithdrawn: false});
	});

	test('keys of a removed contract stay withdrawn when the contract is applied again', () => {
		const view = createView(createContract('durban'), createKey('durban-1'), {kind: 'contractRemoved', team: 'durban'}, createContract('durban'));
		expect(view.contracts.durban).toBeDefined();
		expect(view.keys[HASH]).toMatchObject({isWithdrawn: true});
	});

	test('a database that is no longer a member is dropped from the leaving databases', () => {
		const view = createView(GROUP, {kind: 'upstreamLeft', group: 'bookings', database: 'two'}, {kind: 'groupApplied', group: createGroup('one', 'three')});
		expect(view.groups.bookings!.leaving).toEqual([]);
	});

	test('an entry that is out of order violates an invariant', () => {
		expect(() => applyLogEntry(EMPTY_FLEET_VIEW, createEntry(2, GROUP))).toThrow('log_order');
	});

	test('replaying the log from any snapshot gives the same view, and keys stay withdrawn', () => {
		const change = fc.constantFrom<Change>(
			GROUP,
			PRIMARY,
			createContract('durban'),
			createContract('soweto'),
			createKey('durban-1'),
			createKey('durban-2', 'b'.repeat(64)),
			{kind: 'keyWithdrawn', keyId: 'durban-1'},
			{kind: 'contractRemoved', team: 'durban'},
			{kind: 'upstreamLeft', group: 'bookings', database: 'two'},
			{kind: 'upstreamReturned', group: 'bookings', database: 'two'},
		);
		fc.assert(fc.property(fc.array(change, {maxLength: 30}), fc.nat(30), (changes, cut) => {
			const whole = createView(...changes);
			const entries = changes.map((item, index) => createEntry(index + 1, item));
			const snapshot = createView(...changes.slice(0, cut));
			const rest = entries.slice(snapshot.version).map(entry => decodeLogEntry(encodeLogEntry(entry)));
			const rebuilt = rest.reduce((view, entry) => applyLogEntry(view, entry), snapshot);
			expect(rebuilt).toEqual(whole);
			Object.values(whole.keys).forEach(record => {
				expect(record.isWithdrawn).toBe(isEndedAfterGiven(changes, record));
			});
		}), {seed: SEED, numRuns: 300});
	});
});

describe('log entries of a newer schema version', () => {
	const text = encodeLogEntry(createEntry(1, {kind: 'keyWithdrawn', keyId: 'durban-1'}));

	test.each([
		['an unknown kind', text.replace('keyWithdrawn', 'keyFrozen')],
		['an unknown field of a change', text.replace('"keyId"', '"until":1,"keyId"')],
		['an unknown field of an entry', text.replace('"version"', '"signature":"x","version"')],
	])('decoding fails on %s instead of ignoring it', (_name, newer) => {
		expect(() => decodeLogEntry(newer)).toThrow();
	});
});

describe('validation of operator changes', () => {
	const view = createView(GROUP, PRIMARY, {
		kind: 'routeApplied', route: {
			name: 'r', group: 'bookings', open: false, maxStalenessMs: 0,
		},
	}, createContract('durban'), createKey('durban-1'));

	test.each<[string, Change, string]>([
		['a key id that is in use', createKey('durban-1', 'b'.repeat(64)), 'a key id is used once'],
		['a key that is in use', createKey('durban-9'), 'a key is used once'],
		['a key for a team without a contract', createKey('x-1', 'b'.repeat(64), 'x'), 'team "x" has no contract'],
		['the withdrawal of an unknown key', {kind: 'keyWithdrawn', keyId: 'none'}, 'there is no key "none"'],
		['a contract for an unknown route', {kind: 'contractApplied', contract: {...view.contracts.durban!, routes: ['none']}}, 'unknown route "none"; routes: r'],
		['the removal of a contract that does not exist', {kind: 'contractRemoved', team: 'none'}, 'contracts exist for: durban'],
		['a group without its primary', {kind: 'groupApplied', group: createGroup('two')}, 'would no longer contain its primary "one"'],
		['a group that lists a database twice', {kind: 'groupApplied', group: createGroup('one', 'one')}, 'lists "one" twice'],
		['removing the primary from service', {kind: 'upstreamLeft', group: 'bookings', database: 'one'}, 'is the primary'],
		['the return of a database that is not leaving', {kind: 'upstreamReturned', group: 'bookings', database: 'two'}, 'is not leaving'],
		['a promotion by an operator', {...PRIMARY, term: 2}, 'only hosts'],
	])('rejects %s', (_name, change, message) => {
		expect(findChangeError(view, change)).toContain(message);
	});

	test.each<[string, Change]>([
		['a new key', createKey('durban-2', 'b'.repeat(64))],
		['the withdrawal of a key', {kind: 'keyWithdrawn', keyId: 'durban-1'}],
		['a group with one more database', {kind: 'groupApplied', group: createGroup('one', 'two', 'three')}],
		['removing a replica from service', {kind: 'upstreamLeft', group: 'bookings', database: 'two'}],
	])('accepts %s', (_name, change) => {
		expect(findChangeError(view, change)).toBeUndefined();
	});
});
