/**
 * Change log stored in the platform's table service.
 *
 * Row `log/<version>` holds one entry, and row `op/<operation id>` the version at which that operation was accepted. One
 * commit writes both on the condition that neither exists, so only one of several concurrent appends succeeds, and
 * repeating an append is idempotent.
 */
import {Buffer} from 'node:buffer';
import {
	decodeLogEntry, encodeLogEntry, PortError, waitUntil, type AppendOutcome, type CallOptions, type EntryDraft, type LogEntry, type LogPage,
} from 'heatherpond-core';
import type {CommitRequest} from './generated/platform.js';
import type {PlatformConnection} from './platform-client.js';

const LOG_PREFIX = 'log/';
/** First key after the last possible log key: `0` follows `/`. */
const LOG_END = 'log0';
const OPERATION_PREFIX = 'op/';
/** Versions are zero-padded, so that the key order is the version order. */
const VERSION_DIGITS = 12;
const MAX_PAGE_ENTRIES = 500;

/** Timeout of one attempt to commit or to read the log. */
const ATTEMPT_TIMEOUT_MS = 4000;
/** Interval at which the log is read for the outcome while the commit has no response. */
const OUTCOME_POLL_INTERVAL_MS = 1000;
/** Delay before an attempt is repeated. */
const RETRY_DELAY_MS = 50;

/** Formats the key of the row that holds the log entry of a version. */
export function formatLogKey(version: number): string {
	return LOG_PREFIX + String(version).padStart(VERSION_DIGITS, '0');
}

/** Formats the key of the row that holds the version at which an operation was accepted. */
export function formatOperationKey(operationId: string): string {
	return OPERATION_PREFIX + operationId;
}

/** Reads the log entries after a version, up to a page. */
export async function readLogPage({call}: PlatformConnection, version: number, options: CallOptions): Promise<LogPage> {
	const reply = await call(client => client.scan, {from: formatLogKey(version + 1), until: LOG_END, limit: MAX_PAGE_ENTRIES}, options);
	return {entries: reply.rows.map(row => parseEntry(row.value)), isComplete: !reply.more};
}

function parseEntry(value: Buffer): LogEntry {
	try {
		return decodeLogEntry(value.toString('utf8'));
	} catch (error) {
		throw new PortError('a log entry cannot be decoded; a newer version of this program may have written it', {cause: error, props: {code: 'invalid'}});
	}
}

/** An entry to append right after `expectedVersion`. */
type AppendOperation = {readonly connection: PlatformConnection; readonly draft: EntryDraft; readonly expectedVersion: number};

/**
 * Appends one entry right after a version and determines the outcome before the deadline. A commit whose response is lost
 * or late is repeated unchanged, which is idempotent; meanwhile the log is read for the outcome.
 *
 * @throws PortError with code `unavailable` when the outcome is still unknown at the deadline
 */
export async function appendLogEntry(connection: PlatformConnection, draft: EntryDraft, expectedVersion: number, options: CallOptions): Promise<AppendOutcome> {
	const append: AppendOperation = {connection, draft, expectedVersion};
	const resolved = new AbortController();
	const inner: CallOptions = {deadline: options.deadline, signal: AbortSignal.any([options.signal, resolved.signal])};
	const commit = submitUntilResolved(append, inner);
	try {
		return await Promise.race([commit, Promise.any([commit, readUntilResolved(append, inner)])]);
	} catch (error) {
		checkRetryable(error, false);
		throw new PortError('it is unknown whether the log entry was accepted: the platform did not respond before the deadline', {cause: error, props: {code: 'unavailable'}});
	} finally {
		resolved.abort();
	}
}

function createCommit({draft, expectedVersion}: AppendOperation): CommitRequest {
	const version = expectedVersion + 1;
	const entry: LogEntry = {...draft, version, writtenAt: new Date().toISOString()};
	const rows = [
		{key: formatLogKey(version), value: Buffer.from(encodeLogEntry(entry))},
		{key: formatOperationKey(draft.operationId), value: Buffer.from(String(version))},
	];
	return {conditions: rows.map(({key}) => ({key, revision: 0})), writes: rows};
}

function createAttemptOptions({connection: {clock}}: AppendOperation, options: CallOptions): CallOptions {
	return {deadline: Math.min(options.deadline, clock.readNow() + ATTEMPT_TIMEOUT_MS), signal: options.signal};
}

function isExpired({connection: {clock}}: AppendOperation, {deadline, signal}: CallOptions): boolean {
	return signal.aborted || clock.readNow() >= deadline;
}

/** Repeats the commit until it gets a response. If its conditions did not hold, the log shows whether an earlier attempt was accepted. */
async function submitUntilResolved(append: AppendOperation, options: CallOptions): Promise<AppendOutcome> {
	const {connection, expectedVersion} = append;
	const commit = createCommit(append);
	let failure: unknown;
	let isInFlight = false;
	while (!isExpired(append, options)) {
		try {
			const reply = await connection.call(client => client.commit, commit, createAttemptOptions(append, options));
			return reply.committed ? {kind: 'accepted', version: expectedVersion + 1} : await readDecidedOutcome(append, options);
		} catch (error) {
			checkRetryable(error, isInFlight);
			failure = error;
			isInFlight = true;
		}

		await waitUntil(connection.clock, connection.clock.readNow() + RETRY_DELAY_MS, options.signal);
	}

	throw new PortError('the platform did not respond to the commit before the deadline', {cause: failure});
}

/**
 * Rethrows an error that ends the attempts. A refusal ends them only if no earlier attempt may still be in flight, because
 * the earlier one may yet be accepted.
 */
function checkRetryable(error: unknown, isInFlight: boolean): void {
	if (!(error instanceof PortError) || error.code === 'invalid' || (error.code === 'refused' && !isInFlight)) {
		throw error;
	}
}

/** Reads the log at intervals until it shows the outcome of the commit. */
async function readUntilResolved(append: AppendOperation, options: CallOptions): Promise<AppendOutcome> {
	const {clock} = append.connection;
	let failure: unknown;
	while (!isExpired(append, options)) {
		await waitUntil(clock, Math.min(options.deadline, clock.readNow() + OUTCOME_POLL_INTERVAL_MS), options.signal);
		try {
			const outcome = await readOutcome(append, createAttemptOptions(append, options));
			if (outcome) {
				return outcome;
			}
		} catch (error) {
			checkRetryable(error, true);
			failure = error;
		}
	}

	throw new PortError('the outcome of the commit could not be read from the log before the deadline', {cause: failure});
}

/** Reads from the log the outcome of a commit whose conditions did not hold, retrying failed reads. */
async function readDecidedOutcome(append: AppendOperation, options: CallOptions): Promise<AppendOutcome> {
	let failure: unknown;
	while (!isExpired(append, options)) {
		try {
			const outcome = await readOutcome(append, createAttemptOptions(append, options));
			if (outcome) {
				return outcome;
			}
		} catch (error) {
			checkRetryable(error, true);
			failure = error;
		}

		await waitUntil(append.connection.clock, append.connection.clock.readNow() + RETRY_DELAY_MS, options.signal);
	}

	throw new PortError('the outcome of the commit could not be read from the log before the deadline', {cause: failure});
}

/** Reads the outcome of an operation; `undefined` while the log has no entry after `expectedVersion`. */
async function readOutcome({connection, draft, expectedVersion}: AppendOperation, options: CallOptions): Promise<AppendOutcome | undefined> {
	const [{entries}, operationVersion] = await Promise.all([
		readLogPage(connection, expectedVersion, options),
		readOperationVersion(connection, draft.operationId, options),
	]);
	const version = operationVersion ?? entries.find(entry => entry.operationId === draft.operationId)?.version;
	if (version !== undefined) {
		return {kind: 'accepted', version};
	}

	return entries.length > 0 ? {kind: 'conflict', entries} : undefined;
}

/** Reads the version at which an operation was accepted; `undefined` if it was not accepted. */
export async function readOperationVersion({call}: PlatformConnection, operationId: string, options: CallOptions): Promise<number | undefined> {
	const key = formatOperationKey(operationId);
	const reply = await call(client => client.scan, {from: key, until: `${key}\0`, limit: 1}, options);
	const row = reply.rows.at(0);
	return row && Number(row.value.toString('utf8'));
}
