/** Starts a complete deployment in one process: platform, database groups and hosts, on free loopback ports. */
import {createHash, randomBytes, randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {
	waitUntil, type Change, type Clock, type GroupSettings, type Member, type PlatformPort,
} from 'heatherpond-core';
import type {ProxySettings, Timings} from 'heatherpond-config';
import type {Logger} from 'heatherpond-observe';
import {openPlatform} from 'heatherpond-changelog';
import type {SharingMode} from 'heatherpond-proxy';
import {
	startDatabaseGroup, startDatabaseServer, startPlatformStandin, startSqlParser, type DatabaseGroup, type DatabaseServer, type GroupMember, type PlatformStandin,
} from 'heatherpond-standin';
import type {DeploymentPlan, GroupPlan} from './deployment-plan.js';
import {LocalError} from './local-error.js';
import {createPeerFaults, type PeerFaults} from './peer-faults.js';
import {startLocalHost, type LocalHost} from './local-host.js';

/** Options of {@link startLocalDeployment}. */
export type LocalDeploymentOptions = {
	readonly plan: DeploymentPlan;
	/** Hosts in each failure domain. */
	readonly hostsPerDomain: number;
	/** Loopback address on which the hosts listen; 127.0.0.1 by default. */
	readonly hostAddress?: string;
	/** Additional hosts in the first failure domain. */
	readonly extraHosts?: number;
	/** How hosts share the rate of a contract; `ledger` by default. */
	readonly sharing?: SharingMode;
	readonly clock: Clock;
	readonly logLevel: 'debug' | 'info' | 'warn' | 'silent';
	/** Milliseconds after which a host's report becomes visible in the platform's host list. */
	readonly hostListLagMs: number;
	/** Milliseconds without a report after which a host is dropped from the host list; hosts are never dropped by default. */
	readonly hostListTtlMs?: number;
	/** Overrides of the default timings of failure detection and promotion. */
	readonly timings?: Partial<Timings>;
	/** Overrides of the default limits on clients. */
	readonly limits?: Partial<ProxySettings['limits']>;
	/** Wraps the logger of each host, for example to observe an event. */
	readonly wrapLogger?: (host: string, logger: Logger) => Logger;
	/** Stops the whole deployment. */
	readonly signal: AbortSignal;
};

/** A database of a local deployment, with its group, its settings and its server. */
export type LocalDatabase = GroupMember & {
	readonly group: DatabaseGroup;
	readonly member: Member;
	readonly server: DatabaseServer;
};

/** A running local deployment. */
export type LocalDeployment = {
	readonly plan: DeploymentPlan;
	readonly platform: PlatformStandin;
	readonly hosts: readonly LocalHost[];
	/** Faults to inject into the network between hosts. */
	readonly peerFaults: PeerFaults;
	readonly databases: readonly LocalDatabase[];
	/** Client key of each team. */
	readonly keys: ReadonlyMap<string, string>;
	/** Appends a change to the changelog and returns its version. */
	readonly appendChange: (change: Change) => Promise<number>;
	/**
	 * Waits until every running host has applied the changelog up to a version.
	 * @throws LocalError after 10 s.
	 */
	readonly waitForVersion: (version: number) => Promise<void>;
};

const LOOPBACK = '127.0.0.1';
const DATA_USER = {user: 'heatherpond', password: 'data-secret', isControl: false};
const CONTROL_USER = {user: 'heatherpond_control', password: 'control-secret', isControl: true};
const APPEND_TIMEOUT_MS = 5000;
const VERSION_POLL_MS = 5;
const VERSION_TIMEOUT_MS = 10_000;

/** Starts a deployment and waits until every host has applied the plan and the registrations of all hosts. */
export async function startLocalDeployment(options: LocalDeploymentOptions): Promise<LocalDeployment> {
	const {plan, clock, signal} = options;
	setMaxListeners(0, signal);
	await startSqlParser();
	const platform = await startPlatformStandin({
		listen: `${LOOPBACK}:0`, clock, hostListLagMs: options.hostListLagMs, hostListTtlMs: options.hostListTtlMs, signal,
	});
	const groups = await Promise.all(plan.groups.map(async group => startGroup(group, options)));
	const databases = groups.flat();
	const platformPort = openPlatform({
		address: platform.address, domain: 'operators', clock, signal,
	});
	const appendChange = createChangeAppender(platformPort, options);
	const keys = new Map(plan.contracts.map(contract => [contract.team, randomBytes(18).toString('base64url')]));
	const version = await appendPlan(plan, databases, keys, appendChange);
	const peerFaults = createPeerFaults();
	const hostNames = plan.domains.flatMap((domain, domainIndex) => Array.from({length: options.hostsPerDomain + (domainIndex === 0 ? options.extraHosts ?? 0 : 0)}, (_value, index) => ({domain, host: `${domain}-${index + 1}`})));
	const hosts = await Promise.all(hostNames.map(async name => startLocalHost({
		...name, address: options.hostAddress, deployment: plan.name, platform: platform.address, peers: [], clock, logLevel: options.logLevel, databaseUser: DATA_USER, controlUser: CONTROL_USER, peerFaults, sharing: options.sharing, timings: options.timings ?? {}, limits: options.limits ?? {}, wrapLogger: options.wrapLogger, signal,
	})));

	async function waitForVersion(target: number): Promise<void> {
		const deadline = clock.readNow() + VERSION_TIMEOUT_MS;
		while (hosts.some(host => !host.isKilled() && host.blackboard.read().view.version < target)) {
			if (clock.readNow() > deadline) {
				throw new LocalError(`timed out: not every host has applied the changelog up to version ${target}`);
			}

			await waitUntil(clock, clock.readNow() + VERSION_POLL_MS, signal);
		}
	}

	// Each host appends one entry to register itself.
	await waitForVersion(version + hosts.length);
	return {
		plan, platform, hosts, peerFaults, databases, keys, appendChange, waitForVersion,
	};
}

/** Starts the databases of a group, each with a server on a free port. */
async function startGroup(plan: GroupPlan, {clock, signal}: LocalDeploymentOptions): Promise<LocalDatabase[]> {
	const names = plan.domains.map(domain => `${plan.name}-${domain}`);
	const group = startDatabaseGroup({
		name: plan.name, databases: names, clock, signal,
	});
	return Promise.all(group.members.map(async (groupMember, index) => {
		const server = await startDatabaseServer({
			group, member: groupMember, address: LOOPBACK, port: 0, slots: plan.slots, connections: plan.connections, users: [DATA_USER, CONTROL_USER], clock, signal,
		});
		const member: Member = {
			name: names[index]!, host: LOOPBACK, port: server.port, domain: plan.domains[index]!, slots: plan.slots, connections: plan.connections,
		};
		return {
			...groupMember, group, member, server,
		};
	}));
}

/** Creates a function that appends a change, and retries on top of the newest version when the log has advanced. */
function createChangeAppender(port: PlatformPort, {clock, signal}: LocalDeploymentOptions): (change: Change) => Promise<number> {
	let lastVersion = 0;
	return async function append(change: Change): Promise<number> {
		const outcome = await port.appendEntry({operationId: randomUUID(), author: 'local', change}, lastVersion, {deadline: clock.readNow() + APPEND_TIMEOUT_MS, signal});
		if (outcome.kind === 'accepted') {
			lastVersion = outcome.version;
			return lastVersion;
		}

		lastVersion = outcome.entries.at(-1)!.version;
		return append(change);
	};
}

/** Appends the groups, initial primaries, routes, contracts and keys of a plan; returns the last version. */
async function appendPlan(plan: DeploymentPlan, databases: readonly LocalDatabase[], keys: ReadonlyMap<string, string>, appendChange: (change: Change) => Promise<number>): Promise<number> {
	const groups = plan.groups.map<GroupSettings>(group => ({
		name: group.name, durability: 'contract', members: databases.filter(database => database.group.name === group.name).map(database => database.member),
	}));
	const changes: Change[] = [
		...groups.map<Change>(group => ({kind: 'groupApplied', group})),
		...groups.map<Change>(group => ({
			kind: 'promotionEnded', group: group.name, term: 1, primary: group.members[0]!.name, start: 0n,
		})),
		...plan.routes.map<Change>(route => ({kind: 'routeApplied', route})),
		...plan.contracts.map<Change>(contract => ({kind: 'contractApplied', contract})),
		...[...keys].map<Change>(([team, key]) => ({
			kind: 'keyGiven', team, keyId: `${team}-1`, keyHash: createHash('sha256').update(key).digest('hex'),
		})),
	];
	let version = 0;
	for (const change of changes) {
		version = await appendChange(change);
	}

	return version;
}
