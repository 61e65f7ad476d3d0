/**
 * Runs a write at most once per idempotency key (setting `heatherpond.once`). The database commits the write and the key
 * in one transaction, so a retry through any proxy, also after a failover or a lost response, finds the key and gets the
 * recorded outcome: the command tag, without rows of a RETURNING clause.
 */
import {createHash} from 'node:crypto';
import {createCommandComplete, createNoticeResponse} from 'heatherpond-wire';
import type {ClientResponse} from './client-response.js';
import {readTeam, type ClientContext} from './client-context.js';
import type {ClientRequest} from './client-request.js';
import {answerLocally} from './local-response.js';
import {createRequestError, UpstreamError} from './postgres-error.js';
import {exchangeRequest, type ExchangeOutcome} from './request-exchange.js';
import type {RunningRequest, ConnectionAssignment} from './running-request.js';
import {SQL_STATE} from './sql-states.js';
import {runQueryText, type QueryResponse} from './query-text.js';

/** Table of idempotency keys; it is created in a database when a key is first used there. */
export const ONCE_TABLE = 'heatherpond_once';

const CREATE_TABLE = `CREATE TABLE IF NOT EXISTS ${ONCE_TABLE} (id text PRIMARY KEY, request text, tag text)`;

/**
 * Checks that a request can run with an idempotency key. Reads outside of a transaction ignore the key.
 *
 * @throws RequestError when the request is not a single write outside of a transaction
 */
export function checkOnceRequest(request: ClientRequest, isInTransaction: boolean): void {
	if (request.isRead && !isInTransaction) {
		return;
	}

	const isSingleWrite = request.statements.length === 1 && request.statements[0]!.kind === 'write';
	if (isInTransaction || !isSingleWrite || request.end === 'flush') {
		throw createRequestError(SQL_STATE.notSupported, 'heatherpond.once requires a single write statement outside of a transaction');
	}
}

/** A write that runs with an idempotency key. */
type OnceExecution = {readonly context: ClientContext; readonly assignment: ConnectionAssignment; readonly running: RunningRequest; readonly id: string; readonly fingerprint: string};

/** Runs the write in a transaction that also inserts the key, or reads the recorded outcome when the key exists. */
export async function exchangeOnce(context: ClientContext, assignment: ConnectionAssignment, running: RunningRequest): Promise<ExchangeOutcome> {
	const once: OnceExecution = {
		context, assignment, running, id: context.settings.once!, fingerprint: createFingerprint(context, running.request),
	};
	running.cancellation.updateDestroyer(assignment.handle.connection.destroy);
	try {
		const inserted = await insertKey(once);
		if (inserted === 'fenced') {
			return createFencedOutcome(context, running.request);
		}

		return await (inserted === 'first' ? runFirstTime(once) : readRecordedOutcome(once));
	} finally {
		running.cancellation.updateDestroyer(undefined);
	}
}

/**
 * Hashes the team, the SQL text and the bound parameters, to detect that a key is reused for a different write. Each part
 * ends with a zero byte or has a length of its own, so that no two requests have the same bytes.
 */
function createFingerprint(context: ClientContext, request: ClientRequest): string {
	const hash = createHash('sha256').update(`${readTeam(context)}\0${request.text}\0`);
	request.steps.forEach(step => {
		if (step.kind === 'bind') {
			hash.update(step.statement.definition).update(step.rest);
		}
	});
	return hash.digest('hex');
}

function formatLiteral(text: string): string {
	return `'${text.replaceAll('\'', '\'\'')}'`;
}

async function runProxyQuery({assignment, running}: OnceExecution, text: string): Promise<QueryResponse> {
	running.wasDispatched = true;
	running.cancellation.updateDestroyer(assignment.handle.connection.destroy);
	return runQueryText(assignment.handle.connection, text, running.deadline);
}

/**
 * Result of inserting the key: `first` for a new key, `repeated` for an existing one, `fenced` when the database is no
 * longer primary.
 */
type KeyInsertion = 'first' | 'repeated' | 'fenced';

/** Opens the transaction and inserts the key; creates the table of keys if it is missing. */
async function insertKey(once: OnceExecution): Promise<KeyInsertion> {
	const text = `BEGIN; INSERT INTO ${ONCE_TABLE} (id, request, tag) VALUES (${formatLiteral(once.id)}, ${formatLiteral(once.fingerprint)}, '') ON CONFLICT (id) DO NOTHING`;
	const inserted = await runProxyQuery(once, text);
	if (inserted.error?.code !== SQL_STATE.undefinedTable) {
		return readKeyInsertion(once, inserted);
	}

	// The result of CREATE TABLE is ignored: it fails when another session creates the table concurrently, and the
	// insert below then finds it.
	await runProxyQuery(once, 'ROLLBACK');
	await runProxyQuery(once, CREATE_TABLE);
	return readKeyInsertion(once, await runProxyQuery(once, text));
}

async function readKeyInsertion(once: OnceExecution, inserted: QueryResponse): Promise<KeyInsertion> {
	if (!inserted.error) {
		return inserted.tags.at(-1) === 'INSERT 0 1' ? 'first' : 'repeated';
	}

	await runProxyQuery(once, 'ROLLBACK');
	if (inserted.error.code === SQL_STATE.readOnlyTransaction) {
		return 'fenced';
	}

	throw createRequestError(inserted.error.code, inserted.error.message);
}

/** The database rejected the insert and ran nothing, so the request can be retried on the new primary. */
function createFencedOutcome(context: ClientContext, request: ClientRequest): ExchangeOutcome {
	return {
		status: 'I', point: {term: 0, position: 0n}, hasFailed: false, discardReason: 'fenced', answer: createReplayedResponse(context, request, ''),
	};
}

async function runFirstTime(once: OnceExecution): Promise<ExchangeOutcome> {
	const {context, assignment, running, id} = once;
	const outcome = await exchangeRequest(context, assignment, running, 'once');
	if (outcome.status !== 'T') {
		const {end} = await runProxyQuery(once, 'ROLLBACK');
		return {...outcome, ...end};
	}

	const tag = outcome.answer.readTag();
	const committed = await runProxyQuery(once, `UPDATE ${ONCE_TABLE} SET tag = ${formatLiteral(tag)} WHERE id = ${formatLiteral(id)}; COMMIT`);
	if (committed.tags.at(-1) !== 'COMMIT') {
		throw new UpstreamError(`the idempotency key could not be committed: ${committed.error?.message ?? 'rolled back'}`, {props: {wasDispatched: true}});
	}

	return {...outcome, ...committed.end};
}

/** Reads the outcome that was recorded when the request first ran. */
async function readRecordedOutcome(once: OnceExecution): Promise<ExchangeOutcome> {
	const {context, assignment, running, id, fingerprint} = once;
	await runProxyQuery(once, 'ROLLBACK');
	const {rows, end} = await runProxyQuery(once, `SELECT request, tag FROM ${ONCE_TABLE} WHERE id = ${formatLiteral(id)}`);
	const [request, tag] = rows[0] ?? [];
	if (request !== fingerprint) {
		assignment.handle.release(end.status === 'I');
		throw createRequestError(SQL_STATE.idempotencyKeyReused, `the idempotency key ${JSON.stringify(id)} (heatherpond.once) was already used for a different request`);
	}

	assignment.mayHaveWritten = true;
	return {
		...end, hasFailed: false, answer: createReplayedResponse(context, running.request, tag ?? ''),
	};
}

/**
 * Creates the response to a repeated request from the recorded command tag. It counts as an acknowledgement of a write
 * and so waits for a proof of primacy: the first run might have been lost in a failover.
 */
function createReplayedResponse(context: ClientContext, request: ClientRequest, tag: string): ClientResponse {
	return {
		start: () => undefined,
		take: () => undefined,
		handleChunkEnd: () => undefined,
		hasAcknowledgement: () => true,
		readDiscardReason: () => undefined,
		readTag: () => tag,
		readErrorCode: () => undefined,
		release() {
			context.output.write(createNoticeResponse({severity: 'NOTICE', code: SQL_STATE.alreadyRun, message: 'the request has already run; returning its recorded outcome'}));
			answerLocally(context, request, {describe: () => undefined, execute: () => [createCommandComplete(tag)]});
		},
	};
}
