/** Sums of the usage that hosts and failure domains report. */
import type {Clock, Instant} from 'heatherpond-core';
import type {HostUsage} from './own-reports.js';
import {findEntry} from './record-entries.js';
import type {DomainUsage} from './usage-report.js';

/** Usage of one database. */
export type DatabaseUsage = {
	/** Statements in flight. */
	readonly statements: number;
	/** Open connections. */
	readonly connections: number;
};

/** Reads the usage of databases from sums that are kept for a short time, because every statement asks for it. */
export type DatabaseUsageCache = {
	readonly read: (database: string) => DatabaseUsage;
	/** Discards the sums, after a new report. */
	readonly clear: () => void;
};

/** Time for which sums are reused, in milliseconds; it bounds how long an expired report still counts. */
const CACHE_MS = 200;
const NO_USAGE: DatabaseUsage = {statements: 0, connections: 0};

/** Creates the cache over the recent reports that `readReports` returns. */
export function createDatabaseUsageCache(clock: Clock, readReports: () => ReadonlyArray<Pick<DomainUsage, 'databases'>>): DatabaseUsageCache {
	let sums: ReadonlyMap<string, DatabaseUsage> = new Map();
	let expiresAt: Instant = Number.NEGATIVE_INFINITY;
	return {
		read(database) {
			const now = clock.readNow();
			if (now >= expiresAt) {
				sums = computeDatabaseTotals(readReports());
				expiresAt = now + CACHE_MS;
			}

			return sums.get(database) ?? NO_USAGE;
		},
		clear() {
			expiresAt = Number.NEGATIVE_INFINITY;
		},
	};
}

/** Counts the operations per second that a team requests. */
export function countTeamDemand(reports: ReadonlyArray<Pick<DomainUsage, 'teams'>>, team: string): number {
	return reports.reduce((sum, {teams}) => sum + (findEntry(teams, team) ?? 0), 0);
}

/** Sums the usage of hosts or failure domains. */
export function computeTotalUsage(reports: readonly DomainUsage[]): DomainUsage {
	const teams = new Map<string, number>();
	reports.flatMap(report => Object.entries(report.teams)).forEach(([team, demand]) => {
		teams.set(team, (teams.get(team) ?? 0) + demand);
	});
	return {
		isVerified: reports.some(({isVerified}) => isVerified),
		teams: Object.fromEntries([...teams].map(([team, demand]) => [team, Math.round(demand * 10) / 10])),
		databases: Object.fromEntries([...computeDatabaseTotals(reports)].map(([database, {statements, connections}]) => [database, [statements, connections]])),
	};
}

function computeDatabaseTotals(reports: ReadonlyArray<Pick<DomainUsage, 'databases'>>): ReadonlyMap<string, DatabaseUsage> {
	const sums = new Map<string, DatabaseUsage>();
	reports.flatMap(({databases}) => Object.entries(databases)).forEach(([database, [statements, connections]]) => {
		const sum = sums.get(database) ?? NO_USAGE;
		sums.set(database, {statements: sum.statements + statements, connections: sum.connections + connections});
	});
	return sums;
}

/** Subtracts the usage that this host has reported from that of its domain. */
export function computeOthersUsage(usage: DomainUsage, own: HostUsage): DomainUsage {
	return {
		isVerified: usage.isVerified,
		teams: usage.teams,
		databases: Object.fromEntries(Object.entries(usage.databases).map(([database, [statements, connections]]) => {
			const [ownStatements, ownConnections] = findEntry(own.databases, database) ?? [0, 0];
			return [database, [Math.max(0, statements - ownStatements), Math.max(0, connections - ownConnections)]];
		})),
	};
}
