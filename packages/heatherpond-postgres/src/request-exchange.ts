/** Sends a request on an upstream connection and forwards the response to the client. */
import {
	UnprovenError, applyPointToToken, type LogPoint, type Teardown,
} from 'heatherpond-core';
import {createParameterStatus, type TransactionStatus} from 'heatherpond-wire';
import {createCallerAnswer, type CallerAnswer, type DiscardReason} from './caller-answer.js';
import type {CallerContext} from './caller-context.js';
import {applyVariable, formatSetting, SETTING} from './caller-settings.js';
import {UpstreamError} from './postgres-error.js';
import {encodeRequest} from './request-encoding.js';
import type {RunningRequest, Work} from './running-request.js';
import {startResponseWatchdog} from './silence-watch.js';
import {isResponseFreshEnough} from './work-starter.js';

/** Result of an exchange that ended with ReadyForQuery, or with the last response to a Flush. */
export type ExchangeOutcome = {
	/** Transaction status from ReadyForQuery; absent after a Flush. */
	readonly status?: TransactionStatus;
	readonly point: LogPoint;
	readonly answer: CallerAnswer;
	readonly discardReason?: DiscardReason;
	/** After a Flush: whether an error makes the database skip all messages up to Sync. */
	readonly hasFailed: boolean;
};

/** `alone`: outside a transaction; `once`: in a transaction that the proxy opened for an idempotency key. */
export type ExchangeMode = 'alone' | 'transaction' | 'once';

/** Sends the request and processes its response; rejects with an UpstreamError when the response is incomplete. */
export async function exchangeRequest(context: CallerContext, assignment: Work, running: RunningRequest, mode: ExchangeMode): Promise<ExchangeOutcome> {
	const {connection} = assignment.loan;
	if (!connection.isOpen()) {
		throw new UpstreamError('the connection to the database is closed; the request was not sent');
	}

	const {request} = running;
	const variable = request.statements.find(statement => statement.kind === 'variable');
	if (variable) {
		connection.statements.variables = undefined;
	}

	const isInTransaction = mode !== 'alone';
	const encoded = encodeRequest({
		request, statements: connection.statements, names: context.names, isInTransaction,
	});
	const answer = createCallerAnswer({
		output: context.output,
		running,
		work: assignment,
		encoded,
		isGoodEnough: point => isResponseFreshEnough(context, running, assignment, point),
		canMove: !isInTransaction && request.end === 'ready' && request.statements.length === 1,
		holdsAll: mode === 'once',
		keepsTag: mode === 'once' || variable !== undefined,
		maxHeldBytes: context.services.limits.maxHeldBytes,
	});
	answer.start();
	running.wasDispatched = true;
	assignment.mayHaveWritten ||= request.statements.some(statement => statement.kind === 'write');
	assignment.hasFlushed ||= request.end === 'flush';
	const stopWatchdog = startResponseWatchdog(context, assignment, running, isInTransaction);
	const stopReplacementListener = registerReplacementListener(context, assignment);
	running.cancellation.updateWork(connection.destroy);
	try {
		const end = request.end === 'flush' && encoded.isComplete()
			? {point: {term: 0, position: 0n}}
			: await connection.exchange(encoded.messages, answer.take, running.deadline, {onChunkEnd: answer.handleChunkEnd, isComplete: request.end === 'flush' ? encoded.isComplete : undefined});
		if (variable && answer.readTag() === 'SET' && answer.readDiscardReason() === undefined) {
			context.settings = applyVariable(context.settings, variable);
			connection.statements.variables = context.settings.variablesText;
		}

		return {
			...end, answer, discardReason: answer.readDiscardReason(), hasFailed: encoded.hasFailed(),
		};
	} finally {
		stopWatchdog();
		stopReplacementListener();
		running.cancellation.updateWork(undefined);
	}
}

/** Milliseconds that a replaced primary has to reject the write itself, which lets the request run on the new primary. */
const REPLACED_PRIMARY_GRACE_MS = 300;

/**
 * Destroys the connection of an exchange when its primary has been replaced for `REPLACED_PRIMARY_GRACE_MS`. A write on
 * a replaced primary can no longer be acknowledged, so waiting for its response until the deadline is pointless.
 */
function registerReplacementListener({services}: CallerContext, {group, member, loan, isPrimary}: Work): Teardown {
	if (!isPrimary) {
		return () => undefined;
	}

	let stopTimer: Teardown | undefined;
	const stopListening = services.blackboard.registerListener(state => state.view.groups[group]?.primary, primary => {
		if (primary !== member.name) {
			stopTimer ??= services.clock.registerTimer(services.clock.readNow() + REPLACED_PRIMARY_GRACE_MS, loan.connection.destroy);
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
export async function waitForPrimacyProof(context: CallerContext, assignment: Work, running: RunningRequest, point: LogPoint): Promise<void> {
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
