/** Sends a request on an upstream connection and forwards the response to the client. */
import {
	UnprovenError, applyPointToToken, type LogPosition, type Teardown,
} from 'heatherpond-core';
import {createParameterStatus, type TransactionStatus} from 'heatherpond-wire';
import {createClientResponse, type ClientResponse, type DiscardReason} from './client-response.js';
import type {ClientContext} from './client-context.js';
import {applyVariable, formatSetting, SETTING} from './client-settings.js';
import {UpstreamError} from './postgres-error.js';
import {encodeRequest} from './request-encoding.js';
import type {RunningRequest, ConnectionAssignment} from './running-request.js';
import {SQL_STATE} from './sql-states.js';
import {startResponseWatchdog} from './response-watchdog.js';
import {isResponseFreshEnough} from './request-routing.js';

/** Result of an exchange that ended with ReadyForQuery, or with the last response to a Flush. */
export type ExchangeOutcome = {
	/** Transaction status from ReadyForQuery; absent after a Flush. */
	readonly status?: TransactionStatus;
	readonly point: LogPosition;
	readonly answer: ClientResponse;
	readonly discardReason?: DiscardReason;
	/** After a Flush: whether an error makes the database skip all messages up to Sync. */
	readonly hasFailed: boolean;
};

/** `alone`: outside a transaction; `once`: in a transaction that the proxy opened for an idempotency key. */
export type ExchangeMode = 'alone' | 'transaction' | 'once';

/** Sends the request and processes its response; rejects with an UpstreamError when the response is incomplete. */
export async function exchangeRequest(context: ClientContext, assignment: ConnectionAssignment, running: RunningRequest, mode: ExchangeMode): Promise<ExchangeOutcome> {
	const {connection} = assignment.handle;
	if (!connection.isOpen()) {
		throw new UpstreamError('the connection to the database is closed; the request was not sent');
	}

	const {request} = running;
	const variable = request.statements.find(statement => statement.kind === 'variable');
	if (variable) {
		connection.statements.updateVariables(undefined);
	}

	const isInTransaction = mode !== 'alone';
	if (mode !== 'transaction') {
		connection.statements.endLocalVariables();
	}

	if (request.statements.some(({isLocalSetting}) => isLocalSetting)) {
		connection.statements.startLocalVariables();
	}

	const encoded = encodeRequest({
		request, statements: connection.statements, names: context.names, isInTransaction, hasTransactionFailed: assignment.hasFailed,
	});
	const answer = createClientResponse({
		output: context.output,
		running,
		assignment,
		encoded,
		isFreshEnough: point => isResponseFreshEnough(context, running, assignment, point),
		isRetryable: !isInTransaction && request.end === 'ready' && request.statements.length === 1,
		buffersAll: mode === 'once',
		recordsTag: mode === 'once' || variable !== undefined,
		maxHeldBytes: context.services.limits.maxHeldBytes,
	});
	answer.start();
	running.wasDispatched = true;
	assignment.mayHaveWritten ||= request.statements.some(statement => statement.kind === 'write');
	assignment.hasFlushed ||= request.end === 'flush';
	const stopWatchdog = startResponseWatchdog(context, assignment, running, isInTransaction);
	const stopReplacementListener = registerReplacementListener(context, assignment);
	running.cancellation.updateDestroyer(connection.destroy);
	try {
		const end = request.end === 'flush' && encoded.isComplete()
			? {point: {term: 0, position: 0n}}
			: await connection.exchange(encoded.messages, answer.take, running.deadline, {onChunkEnd: answer.handleChunkEnd, isComplete: request.end === 'flush' ? encoded.isComplete : undefined});
		// An error behind SET, in the same request, has undone it.
		if (variable && answer.readTag() === 'SET' && !encoded.hasFailed() && answer.readDiscardReason() === undefined) {
			context.settings = applyVariable(context.settings, variable);
			connection.statements.updateVariables(context.settings.variablesText);
		}

		assignment.hasFailed = end.status === 'E';
		assignment.mayHoldState ||= request.statements.some(({isUnreadable}) => isUnreadable) && answer.readErrorCode() !== SQL_STATE.syntaxError;
		return {
			...end, answer, discardReason: answer.readDiscardReason(), hasFailed: encoded.hasFailed(),
		};
	} finally {
		stopWatchdog();
		stopReplacementListener();
		running.cancellation.updateDestroyer(undefined);
	}
}

/** Milliseconds that a replaced primary has to reject the write itself, which lets the request run on the new primary. */
const REPLACED_PRIMARY_GRACE_MS = 300;

/**
 * Destroys the connection of an exchange when its primary has been replaced for `REPLACED_PRIMARY_GRACE_MS`. A write on
 * a replaced primary can no longer be acknowledged, so waiting for its response until the deadline is pointless.
 */
function registerReplacementListener({services}: ClientContext, {group, member, handle, isPrimary}: ConnectionAssignment): Teardown {
	if (!isPrimary) {
		return () => undefined;
	}

	let stopTimer: Teardown | undefined;
	const stopListening = services.blackboard.registerListener(state => state.view.groups[group]?.primary, primary => {
		if (primary !== member.name) {
			stopTimer ??= services.clock.registerTimer(services.clock.readNow() + REPLACED_PRIMARY_GRACE_MS, handle.connection.destroy);
		}
	});
	return () => {
		stopListening();
		stopTimer?.();
	};
}

/**
 * Waits for the proof that the database was still primary when it committed, and reports the session's new token to the
 * client. The commit may be acknowledged in the same turn of the event loop in which the promise resolves.
 *
 * @throws UnprovenError when no proof is obtained by the deadline
 */
export async function waitForPrimacyProof(context: ClientContext, assignment: ConnectionAssignment, running: RunningRequest, point: LogPosition): Promise<void> {
	const {primacyGate} = context.services;
	const commit = {
		requestId: running.requestId,
		group: assignment.group,
		database: assignment.member.name,
		point,
		durability: running.contract?.durability ?? 'replica',
		deadline: running.deadline,
		signal: running.cancellation.signal,
	};
	const proof = await primacyGate.waitForProof(commit);
	if (!primacyGate.isStillProven(commit, proof)) {
		throw new UnprovenError('the proof of primacy expired before the commit could be acknowledged', {props: {reason: 'timeout'}});
	}

	context.settings = {...context.settings, token: applyPointToToken(context.settings.token, assignment.group, point)};
	context.output.write(createParameterStatus(SETTING.session, formatSetting(context.settings, SETTING.session)));
}
