/** Starts the platform or a database group from the settings of a process. */
import {parseAddress, type GroupStandinSettings, type PlatformStandinSettings} from 'heatherpond-config';
import type {Clock} from 'heatherpond-core';
import type {Logger} from 'heatherpond-observe';
import {startDatabaseGroup, type DatabaseGroup} from './database-group.js';
import {startDatabaseServer, type DatabaseServer} from './database-server.js';
import {startPlatformStandin} from './platform-server.js';
import {startSqlParser} from './sql-parser.js';

/** Clock, logger and shutdown signal of the process that runs a stand-in. */
export type StandinContext = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly signal: AbortSignal;
};

/** Starts the platform; it stops when the signal aborts. */
export async function startPlatformProcess(settings: PlatformStandinSettings, {clock, logger, signal}: StandinContext): Promise<void> {
	const platform = await startPlatformStandin({
		listen: settings.listen, clock, hostListLagMs: settings.hostListLagMs, signal,
	});
	platform.faults.delayMs = settings.delayMs;
	logger.info('serving', {address: platform.address});
}

/** Starts a group and a server for each of its databases; all stop when the signal aborts. */
export async function startGroupProcess(settings: GroupStandinSettings, context: StandinContext): Promise<void> {
	const {clock, logger, signal} = context;
	await startSqlParser();
	const group = startDatabaseGroup({
		name: settings.name, databases: settings.member.map(member => member.name), clock, signal,
	});
	const servers = await Promise.all(settings.member.map(async (_member, index) => startMember(settings, group, index, context)));
	servers.forEach((server, index) => {
		logger.info('serving', {database: settings.member[index]!.name, port: server.port});
	});
}

/** Starts the server of one database, with the faults and latencies of the settings. */
async function startMember(settings: GroupStandinSettings, group: DatabaseGroup, index: number, {clock, signal}: StandinContext): Promise<DatabaseServer> {
	const {listen, domain, replicationLagMs} = settings.member[index]!;
	const member = group.members[index]!;
	Object.assign(member.faults, {replicationLagMs, connectDelayMs: settings.connectDelayMs, serviceTimeMs: settings.serviceTimeMs});
	return startDatabaseServer({
		group,
		member,
		...parseAddress(listen),
		slots: settings.slots,
		connections: settings.connections,
		users: [{...settings.database, isControl: false}, {...settings.control, isControl: true}],
		readLatencyMs: settings.latency.length === 0 ? undefined : from => findLatencyMs(settings, from, domain),
		clock,
		signal,
	});
}

/** Returns the configured latency between two failure domains, in either direction; 0 if there is none. */
function findLatencyMs({latency}: GroupStandinSettings, from: string, to: string): number {
	const entry = latency.find(({between: [one, other]}) => (one === from && other === to) || (one === to && other === from));
	return entry?.oneWayMs ?? 0;
}
