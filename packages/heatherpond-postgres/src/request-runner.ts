/** Runs the requests of one session, and holds the connection of an open transaction between them. */
import {
	RefusalError, type AccessDecision,
} from 'heatherpond-core';
import {createCommandComplete, createReadyForQuery, type TransactionStatus} from 'heatherpond-wire';
import {readTeam, type ClientContext} from './client-context.js';
import type {ClientRequest} from './client-request.js';
import {createCancellation, type Cancellation} from './cancellation.js';
import {convertRequestError} from './client-error.js';
import {removeWriteOptions} from './client-settings.js';
import {answerLocally} from './local-response.js';
import {checkOnceRequest} from './once-request.js';
import {createRequestError, RequestError, UpstreamError} from './postgres-error.js';
import {runAttempts} from './request-attempts.js';
import {exchangeRequest, waitForPrimacyProof, type ExchangeOutcome} from './request-exchange.js';
import type {RunningRequest, ConnectionAssignment} from './running-request.js';
import {SQL_STATE} from './sql-states.js';
import {applyTransactionEvent, NO_TRANSACTION, readTransactionStatus} from './transaction-phase.js';
import {recordReplicaPosition, waitForAdmission} from './request-routing.js';

/** Result of a request that was answered. */
export type RunResult = {
	/** Whether all messages up to Sync are to be skipped because a request that ended with Flush failed. */
	readonly hasFailed: boolean;
};

/** Runs the requests of a session in sequence. */
export type RequestRunner = {
	/** @throws RequestError with the error fields for the client */
	readonly run: (request: ClientRequest, access: Extract<AccessDecision, {kind: 'allow'}>) => Promise<RunResult>;
	/** Transaction status to report in ReadyForQuery. */
	readonly readStatus: () => TransactionStatus;
	/** Whether an upstream connection is held for the session. */
	readonly isInTransaction: () => boolean;
	/** Cancels the running request, if any. */
	readonly cancel: () => void;
	/** Fails the open transaction after an error that the proxy itself reported; the database rolls it back. */
	readonly failTransaction: () => void;
	/** Cancels the running request and destroys the connection of an open transaction. */
	readonly stop: () => void;
};

export function createRequestRunner(context: ClientContext): RequestRunner {
	const {services, output} = context;
	let phase = NO_TRANSACTION;
	let transaction: ConnectionAssignment | undefined;
	let cancellation: Cancellation | undefined;
	let requestCount = 0;

	function createRunningRequest(request: ClientRequest, {route, contract}: Extract<AccessDecision, {kind: 'allow'}>, requestCancellation: Cancellation): RunningRequest {
		requestCount++;
		return {
			requestId: `${context.sessionId}-${requestCount}`,
			request,
			route,
			contract,
			deadline: services.clock.readNow() + services.limits.requestTimeoutMs,
			cancellation: requestCancellation,
			wasAdmitted: false,
			wasDispatched: false,
			hasResponseStarted: false,
			needsPrimary: false,
			abandonedConnections: 0,
			failed: new Set(),
		};
	}

	function destroyTransaction(): void {
		transaction?.handle.release(false);
		transaction?.permit.release('failed');
		transaction = undefined;
		context.names.portals.clear();
	}

	/**
	 * Releases the connection when no transaction is open, and sends the rest of the response. A commit that may have
	 * written is acknowledged only after its proof of primacy.
	 */
	async function endExchange(assignment: ConnectionAssignment, running: RunningRequest, outcome: ExchangeOutcome): Promise<void> {
		phase = applyTransactionEvent(phase, {type: 'answered', status: outcome.status});
		transaction = outcome.status === 'I' ? undefined : assignment;
		recordReplicaPosition(context, assignment, outcome.point);
		if (outcome.status === 'I') {
			context.names.portals.clear();
			assignment.handle.release(!assignment.mayHoldState);
			assignment.permit.release('answered');
			const isProofNeeded = assignment.mayHaveWritten && assignment.isPrimary && (outcome.answer.hasAcknowledgement() || assignment.hasFlushed);
			if (isProofNeeded && !running.request.statements.some(statement => statement.kind === 'rollback')) {
				await waitForPrimacyProof(context, assignment, running, outcome.point);
			}

			services.retryBudget.recordSuccess();
		}

		outcome.answer.release();
		if (outcome.status) {
			output.write(createReadyForQuery(outcome.status));
		}

		output.flush();
		services.recordEvent('requestAnswered', {
			request: running.requestId, session: context.sessionId, team: readTeam(context), group: assignment.group, database: assignment.member.name,
		});
	}

	async function runInTransaction(assignment: ConnectionAssignment, running: RunningRequest): Promise<RunResult> {
		await waitForAdmission(context, running);
		let outcome: ExchangeOutcome;
		try {
			outcome = await exchangeRequest(context, assignment, running, 'transaction');
			if (outcome.discardReason) {
				throw new UpstreamError('the database returned data older than the session\'s last known position', {props: {wasDispatched: true}});
			}
		} catch (error) {
			destroyTransaction();
			const mayHaveCommitted = assignment.mayHaveWritten && (assignment.hasFlushed || running.request.statements.some(statement => statement.kind === 'commit'));
			phase = applyTransactionEvent(phase, {type: 'connectionLost', mayHaveCommitted});
			throw mayHaveCommitted ? error : createConnectionLostError(error, running);
		}

		await endExchange(assignment, running, outcome);
		return outcome;
	}

	function runAfterConnectionLoss(request: ClientRequest): RunResult {
		const [first] = request.statements;
		const isTransactionEnd = request.statements.length === 1 && (first!.kind === 'rollback' || first!.kind === 'commit');
		if (!isTransactionEnd && request.statements.length > 0) {
			throw createRequestError(SQL_STATE.failedTransaction, 'current transaction is aborted, commands ignored until end of transaction block');
		}

		answerLocally(context, request, {
			describe: () => undefined,
			execute() {
				phase = applyTransactionEvent(phase, {type: 'ended'});
				context.names.portals.clear();
				return [createCommandComplete('ROLLBACK')];
			},
		});
		if (request.end === 'ready') {
			output.write(createReadyForQuery(readTransactionStatus(phase)));
		}

		output.flush();
		return {hasFailed: false};
	}

	async function runRequest(request: ClientRequest, running: RunningRequest): Promise<RunResult> {
		try {
			if (context.settings.once !== undefined) {
				checkOnceRequest(request, transaction !== undefined);
			}

			return transaction ? await runInTransaction(transaction, running) : await runAttempts(context, running, endExchange);
		} finally {
			if (!request.isRead && request.statements.length > 0) {
				context.settings = removeWriteOptions(context.settings);
			}
		}
	}

	return {
		async run(request, access) {
			if (phase.kind === 'lost') {
				return runAfterConnectionLoss(request);
			}

			cancellation = createCancellation();
			const running = createRunningRequest(request, access, cancellation);
			try {
				return await runRequest(request, running);
			} catch (error) {
				const fields = convertRequestError(error, {
					isRead: request.isRead, wasDispatched: running.wasDispatched, hasResponseStarted: running.hasResponseStarted, isCanceled: running.cancellation.isCanceled(),
				});
				recordRequestFailure(context, running, error, fields.code);
				throw new RequestError(fields.message, {cause: error, props: {fields}});
			} finally {
				cancellation = undefined;
			}
		},
		readStatus: () => readTransactionStatus(phase),
		isInTransaction: () => transaction !== undefined,
		cancel() {
			cancellation?.cancel();
		},
		failTransaction() {
			if (transaction) {
				destroyTransaction();
				phase = applyTransactionEvent(phase, {type: 'refused'});
			}
		},
		stop() {
			cancellation?.cancel();
			destroyTransaction();
		},
	};
}

function createConnectionLostError(error: unknown, running: RunningRequest): Error {
	if (error instanceof RequestError) {
		return error;
	}

	const isCanceled = running.cancellation.isCanceled();
	const message = isCanceled ? 'the request was canceled and its transaction was rolled back' : 'the connection to the database was lost and the transaction was rolled back';
	return createRequestError(isCanceled ? SQL_STATE.queryCanceled : SQL_STATE.connectionFailure, message);
}

function recordRequestFailure(context: ClientContext, running: RunningRequest, error: unknown, code: string): void {
	const isRefusal = error instanceof RefusalError;
	const kind = code === SQL_STATE.outcomeUnknown ? 'requestUnknown' : 'requestRefused';
	context.services.recordEvent(kind, {
		request: running.requestId, session: context.sessionId, team: readTeam(context), group: running.route.group, reason: isRefusal ? error.reason : code,
	});
}
