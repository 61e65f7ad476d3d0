import {describe, expect, test} from '@jest/globals';
import {createBlackboard, createFakeClock} from 'heatherpond-core';
import {
	createDatabaseShares, createPermittedPlaces, EMPTY_FLEET_STATE, type DatabaseShares, type FleetState, type HostRecord, type Upstream,
} from '../../index.js';

const DOMAINS = ['a', 'b'];
const TEAMS = Array.from({length: 30}, (_, index) => `team-${index}`);
/** A database of a domain that has no hosts, so that its relays are in other domains. */
const UPSTREAM: Upstream = {
	id: 'db', group: 'g', host: 'db', port: 1, domain: 'x', capacity: 5, isLeaving: false, claimsPrimary: true, isWarmingUp: false, startedAt: 0,
};

function createHosts(): readonly HostRecord[] {
	return DOMAINS.flatMap(domain => Array.from({length: 10}, (_, index) => ({
		host: `${domain}/host-${index}`, incarnation: 'run', domain, address: `${domain}${index}`, port: 1, refreshedAt: 0,
	})));
}

function createShares(load: {readonly remoteStatements: number; readonly queuedStatements: number}): DatabaseShares {
	const blackboard = createBlackboard<FleetState>({
		...EMPTY_FLEET_STATE,
		contracts: {
			version: 1, routes: new Map(), groups: new Map([['g', {group: 'g', maxConnections: 50}]]), teams: new Map(TEAMS.map(team => [team, {team, ratePerSecond: 1, burst: 1}])), teamsByKey: new Map(), idleTransactionMs: 1000,
		},
		upstreams: new Map([['db', UPSTREAM]]),
	});
	const hosts = createHosts();
	return createDatabaseShares({
		blackboard, readRegion: domain => domain, readHosts: () => hosts,
		places: createPermittedPlaces({
			clock: createFakeClock(0), blackboard, domain: 'a', readRegion: domain => domain, evacuationGraceMs: 0,
		}),
		readRemoteUsage: () => ({statements: load.remoteStatements, connections: 0}),
		readOwnLoad: () => ({openConnections: 0, queuedStatements: load.queuedStatements}),
		relays: {createHandle: () => undefined as never, isBackingOff: () => false, destroy: () => undefined},
	});
}

describe('relays', () => {
	test('lie in the homes of a statement or in the region of its host, also after other statements have selected them', () => {
		const shares = createShares({remoteStatements: 0, queuedStatements: 0});
		const everywhere = TEAMS.map(team => shares.findRelay(UPSTREAM, team, undefined)?.domain);
		const atHome = TEAMS.map(team => shares.findRelay(UPSTREAM, team, new Set(['x']))?.domain);
		expect(everywhere).toContain('b');
		expect(atHome).not.toContain('b');
	});
});

describe('the statements that a host may have running', () => {
	test('are an equal part while others are busy, and all that they leave otherwise', () => {
		const busy = createShares({remoteStatements: 40, queuedStatements: 0}).readStatementLimit(UPSTREAM);
		const idle = createShares({remoteStatements: 0, queuedStatements: 0}).readStatementLimit(UPSTREAM);
		expect(busy).toBeLessThan(idle);
		expect(idle).toBe(15);
	});

	test('are not reduced by what others have sent to the queue of this host', () => {
		expect(createShares({remoteStatements: 40, queuedStatements: 40}).readStatementLimit(UPSTREAM)).toBe(15);
	});
});
