/**
 * Lets one host of each failure domain read the store, and the others ask it. A wrong choice of the reader costs a call to
 * the store, never safety: what is passed on carries its age, counted from before the store was asked, and is taken off
 * from when this host sent its own question.
 */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import type {HostRecord} from './fleet-records.js';
import type {StorePort, TablePage} from './store-port.js';

/** Asks another host what it knows of a table. */
export type AskHost = (host: HostRecord, question: {readonly table: string; readonly after: number}, deadline: Deadline) => Promise<TablePage | undefined>;

/** What the choice needs. */
export type DomainReaderOptions = {
	readonly store: StorePort;
	readonly clock: Clock;
	/** Finds the host of the failure domain that reads the store; nothing when this one does. */
	readonly findReader: FindReader;
	readonly ask: AskHost;
};

/** Milliseconds within which a host of the same failure domain answers. */
const ASK_TIMEOUT_MS = 120;

/** A host of the own failure domain, and since when it has run. */
export type DomainMate = HostRecord & {readonly startedAt: Instant};

/** Finds the host of the failure domain that reads the store and decides for the others; nothing when this one does. */
export type FindReader = () => HostRecord | undefined;

/** Milliseconds that a host has to have run for, unless no other of its failure domain has run much longer. */
const SETTLING_MS = 2600;
/** Milliseconds between the starts of hosts that count as started together. */
const TOGETHER_MS = 1000;

/** Finds the first host by name; one that has just started leaves the work to those that have run for longer. */
export function findReader(own: Pick<DomainMate, 'host' | 'startedAt'>, mates: readonly DomainMate[], now: Instant): HostRecord | undefined {
	const firstStartedAt = Math.min(own.startedAt, ...mates.map(({startedAt}) => startedAt));
	const latestStartedAt = Math.max(now - SETTLING_MS, firstStartedAt + TOGETHER_MS);
	const isCandidate = own.startedAt <= latestStartedAt;
	return mates
		.filter(({host, startedAt}) => startedAt <= latestStartedAt && (!isCandidate || host < own.host))
		.toSorted((left, right) => left.host < right.host ? -1 : 1)
		.at(0);
}

/** Creates a store port that asks the reader of the failure domain for changes first. */
export function createDomainStore({store, clock, findReader: findStoreReader, ask}: DomainReaderOptions): StorePort {
	return {
		...store,
		async readChanges(table, after, deadline) {
			const reader = findStoreReader();
			const passedOn = reader && await ask(reader, {table, after}, clock.readNow() + ASK_TIMEOUT_MS);
			return passedOn ?? store.readChanges(table, after, deadline);
		},
	};
}
