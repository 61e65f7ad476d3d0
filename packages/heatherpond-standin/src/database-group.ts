/** A database group within one process: a primary and replicas with asynchronous log replication. */
import type {Clock, Teardown} from 'heatherpond-core';
import {createDatabase, type Database} from './database.js';
import {createDatabaseFaults, type DatabaseFaults} from './database-faults.js';
import type {SqlValue} from './sql-row.js';

/** One database of a group, with its injected faults and counters. */
export type GroupMember = {
	readonly database: Database;
	readonly faults: DatabaseFaults;
	readonly counters: DatabaseCounters;
	readonly observer: StatementObserver;
};

/** A statement as a database ran it for a client. */
export type ExecutedStatement = {
	/** Text of the Query or Parse message. */
	readonly text: string;
	readonly values: readonly SqlValue[];
	/** Configuration parameters that were set, by name in lower case. */
	readonly settings: Readonly<Record<string, string>>;
};

/** Observes the statements of one database; tests set the function. */
export type StatementObserver = {
	/** Called for each statement that has succeeded for a client that is not a control user. */
	handleStatement?: (statement: ExecutedStatement) => void;
};

/** Counters of client statements executed by one database since its start. */
export type DatabaseCounters = {
	/** SELECT statements executed successfully for clients that are not control users. */
	selects: number;
};

/** A running database group. */
export type DatabaseGroup = {
	readonly name: string;
	readonly members: readonly GroupMember[];
	readonly findMember: (name: string) => GroupMember | undefined;
	/** Finds the database `to` if `from` can reach it over the group's network. */
	readonly findReachableDatabase: (from: string, to: string) => Database | undefined;
};

/** Options of a database group. */
export type DatabaseGroupOptions = {
	readonly name: string;
	/** Names of the databases; the first one is the primary in term 1. */
	readonly databases: readonly string[];
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

/** Interval of replication messages while nothing is committed. */
const REPLICATION_INTERVAL_MS = 20;

/** Starts a group; replication stops when the signal aborts. */
export function startDatabaseGroup(options: DatabaseGroupOptions): DatabaseGroup {
	const {clock, signal} = options;
	const members = options.databases.map<GroupMember>(name => ({
		database: createDatabase({name, clock, firstPrimary: options.databases[0]!}),
		faults: createDatabaseFaults(),
		counters: {selects: 0},
		observer: {},
	}));
	const pendingDeliveries = new Set<Teardown>();
	let stopTimer: Teardown | undefined;

	function findMember(name: string): GroupMember | undefined {
		return members.find(member => member.database.name === name);
	}

	/** Sends the log to all replicas of a primary. A message that arrives after a later one changes nothing, as the log only grows. */
	function sendReplicationMessages(from: GroupMember): void {
		const term = from.database.readPrimaryTerm();
		if (term === undefined || from.faults.isPartitionedFromGroup || from.faults.isDown) {
			return;
		}

		const sentAt = clock.readNow();
		const history = from.database.readHistory();
		const message = {
			primary: from.database.name, term, history, length: history.length, sentAt,
		};
		members.filter(member => member !== from && member.database.readStatus().follows === from.database.name).forEach(replica => {
			if (!replica.faults.isPartitionedFromGroup && !replica.faults.isDown) {
				replica.database.recordPrimaryContact(from.database.name);
			}

			const stopDelivery = clock.registerTimer(sentAt + replica.faults.replicationLagMs, () => {
				pendingDeliveries.delete(stopDelivery);
				if (!replica.faults.isPartitionedFromGroup && !replica.faults.isDown && !signal.aborted) {
					replica.database.applyReplication(message);
				}
			});
			pendingDeliveries.add(stopDelivery);
		});
	}

	function startReplicationRound(): void {
		if (signal.aborted) {
			return;
		}

		members.forEach(sendReplicationMessages);
		stopTimer = clock.registerTimer(clock.readNow() + REPLICATION_INTERVAL_MS, startReplicationRound);
	}

	members.forEach(member => {
		member.database.registerCommitListener(() => {
			sendReplicationMessages(member);
		});
	});
	signal.addEventListener('abort', () => {
		stopTimer?.();
		pendingDeliveries.forEach(stopDelivery => {
			stopDelivery();
		});
	}, {once: true});
	startReplicationRound();

	return {
		name: options.name,
		members,
		findMember,
		findReachableDatabase(from, to) {
			const source = findMember(from);
			const target = findMember(to);
			return source && target && !source.faults.isPartitionedFromGroup && !target.faults.isPartitionedFromGroup ? target.database : undefined;
		},
	};
}
