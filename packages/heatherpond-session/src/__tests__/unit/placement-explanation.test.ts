import {describe, expect, test} from '@jest/globals';
import {createPlacementExplanation} from '../../index.js';
import {createRoute, createTestServices} from '../support/test-services.js';

const READ = {database: 'shop', key: 'key', access: 'read'} as const;

describe('createPlacementExplanation', () => {
	test('compares the databases by the terms of the decision, and sends nothing', () => {
		const fixture = createTestServices(createRoute('bounded_staleness'));
		fixture.positions.recordPrimaryPosition('g', 1, {term: 1, position: 7n}, fixture.clock.readNow());
		const explanation = createPlacementExplanation(fixture.services, READ);
		expect(explanation).toMatchObject({
			outcome: 'placed', group: 'g', team: 'team', after: '1.7',
		});
		expect(explanation.candidates.map(({database}) => database).toSorted()).toEqual(['db-1', 'db-2', 'db-3']);
		expect(explanation.candidates.at(-1)).toMatchObject({database: 'db-1', isPrimary: true});
		expect(fixture.seen).toEqual([]);
	});

	test('says why only the primary may run a statement', () => {
		const fixture = createTestServices();
		expect(createPlacementExplanation(fixture.services, {...READ, access: 'write'})).toMatchObject({outcome: 'placed', database: 'db-1', reason: 'only the primary may run it'});
		fixture.primary = undefined;
		expect(createPlacementExplanation(fixture.services, {...READ, access: 'write'})).toMatchObject({outcome: 'waits'});
	});

	test('says why a statement would be refused', () => {
		const fixture = createTestServices();
		['db-1', 'db-2', 'db-3'].forEach(id => {
			fixture.forbidden.add(id);
		});
		expect(createPlacementExplanation(fixture.services, READ)).toMatchObject({outcome: 'refused', reason: 'every database of the group is outside the home regions or evacuated'});
		fixture.access = 'unknown_key';
		expect(createPlacementExplanation(fixture.services, READ)).toMatchObject({outcome: 'refused', reason: 'unknown_key'});
	});
});
