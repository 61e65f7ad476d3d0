import {describe, expect, test} from '@jest/globals';
import type {GroupRecord} from '../../fleet-view.js';
import {decideAdoption} from '../../group-adoption.js';
import type {DatabaseState} from '../../host-state.js';
import type {DatabaseStatus} from '../../upstream-port.js';

const NAMES = ['one', 'two', 'three'];
const GROUP: GroupRecord = {
	settings: {
		name: 'bookings',
		durability: 'contract',
		members: NAMES.map((name, index) => ({
			name, host: '10.0.0.1', port: 5432 + index, domain: 'jhb-a', slots: 3, connections: 20,
		})),
	},
	term: 0,
	termStarts: [],
	leaving: [],
};

function createStatus(name: string, changes: Partial<DatabaseStatus> = {}): DatabaseStatus {
	return {
		name, role: 'replica', term: 4, grantedTo: '', last: {term: 4, position: 96n}, follows: 'one', dataAgeMs: 0, ...changes,
	};
}

const PRIMARY = createStatus('one', {role: 'primary', follows: ''});

function decide(statuses: readonly DatabaseStatus[], group = GROUP, now = 100) {
	const databases = statuses.map<[string, DatabaseState]>(status => [`bookings/${status.name}`, {
		group: 'bookings', name: status.name, status, readAt: 0, failures: 0,
	}]);
	return decideAdoption(group, Object.fromEntries(databases), now, 1000);
}

describe('adoption of an existing primary', () => {
	test('records the primary that a majority of the members agrees on', () => {
		expect(decide([PRIMARY, createStatus('two')])).toEqual({
			kind: 'promotionEnded', group: 'bookings', term: 4, primary: 'one', start: 96n,
		});
	});

	test.each<[string, readonly DatabaseStatus[]]>([
		['only the primary responds', [PRIMARY]],
		['no primary responds', [createStatus('two'), createStatus('three')]],
		['two databases report to be primary', [PRIMARY, createStatus('two', {role: 'primary'}), createStatus('three')]],
		['a replica reports a higher term', [PRIMARY, createStatus('two'), createStatus('three', {term: 5})]],
		['the replicas follow other databases', [PRIMARY, createStatus('two', {follows: 'three'}), createStatus('three', {follows: 'two'})]],
	])('decides nothing while %s', (_name, statuses) => {
		expect(decide(statuses)).toBeUndefined();
	});

	test('ignores outdated statuses, and groups whose primary is already in the log', () => {
		const statuses = [PRIMARY, createStatus('two')];
		expect(decide(statuses, GROUP, 5000)).toBeUndefined();
		expect(decide(statuses, {...GROUP, term: 1, primary: 'one'})).toBeUndefined();
	});
});
