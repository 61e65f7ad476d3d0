import {describe, expect, test} from '@jest/globals';
import {ChangeRefusedError, checkChange} from '../../change-check.js';
import {EMPTY_FLEET_VIEW} from '../../fleet-view.js';
import type {Change} from '../../log-entry.js';
import {applyPointToToken, EMPTY_TOKEN} from '../../session-token.js';

const NAMES = ['constructor', 'toString', 'valueOf', 'hasOwnProperty'] as const;

function createGroupChange(name: string, database: string): Change {
	return {
		kind: 'groupApplied', group: {
			name, durability: 'contract', members: [{
				name: database, host: 'h', port: 1, domain: 'd', slots: 1, connections: 1,
			}],
		},
	};
}

describe('names that JavaScript objects have', () => {
	test.each(NAMES)('%s is refused as the name of a group, a database, a route or a team', name => {
		const changes: readonly Change[] = [
			createGroupChange(name, 'a'),
			createGroupChange('g', name),
			{
				kind: 'routeApplied', route: {
					name, group: 'g', open: false, maxStalenessMs: 0,
				},
			},
			{
				kind: 'contractApplied', contract: {
					team: name, routes: ['r'], rate: 1, burst: 1, weight: 1, connectionsPerKey: 1, durability: 'replica', unverifiedKeySeconds: 1,
				},
			},
		];
		changes.forEach(change => {
			expect(() => {
				checkChange(EMPTY_FLEET_VIEW, change);
			}).toThrow(`the name "${name}" is reserved`);
		});
	});

	test.each(NAMES)('%s names no group, route or team that a change could refer to', name => {
		const changes: readonly Change[] = [
			{
				kind: 'routeApplied', route: {
					name: 'r', group: name, open: false, maxStalenessMs: 0,
				},
			},
			{kind: 'contractRemoved', team: name},
			{
				kind: 'keyGiven', team: name, keyId: 'k', keyHash: '0'.repeat(64),
			},
			{kind: 'upstreamLeft', group: name, database: 'a'},
		];
		changes.forEach(change => {
			expect(() => {
				checkChange(EMPTY_FLEET_VIEW, change);
			}).toThrow(ChangeRefusedError);
		});
	});

	test('the team of clients without a key cannot have a contract', () => {
		expect(() => {
			checkChange(EMPTY_FLEET_VIEW, {
				kind: 'contractApplied', contract: {
					team: 'anonymous', routes: ['r'], rate: 1, burst: 1, weight: 1, connectionsPerKey: 1, durability: 'replica', unverifiedKeySeconds: 1,
				},
			});
		}).toThrow('the name "anonymous" is reserved');
	});

	test.each(NAMES)('a session that wrote to an existing group named %s reads its writes', name => {
		const point = {term: 1, position: 5n};
		expect(Object.entries(applyPointToToken(EMPTY_TOKEN, name, point))).toEqual([[name, point]]);
	});
});
