/** Sends one step to a database, and records the latency, log position, lag and failures that the exchange reveals. */
import type {Deadline} from 'heatherpond-core';
import type {ConnectionHandle, ConnectionStep, StepResult} from './connection-handle.js';
import {UpstreamError} from './session-error.js';
import type {Primary, SessionServices} from './session-services.js';
import {isNotRun, type UpstreamResponse} from './upstream-connection.js';

/** Result of an exchange. */
export type ExchangeResult
	/** The database ran the command and responded, with success or an error. */
	= | {readonly kind: 'answered'; readonly answer: UpstreamResponse}
	/** The database completed the command, but outside the transaction that it belongs to, or inside one that nobody opened for it. */
		| {readonly kind: 'misplaced'; readonly reason: 'misplaced'}
	/** The database rejected the command without running it. */
		| {readonly kind: 'not_run'; readonly answer: UpstreamResponse; readonly reason: string}
	/** The connection failed; the command may have been run if `wasSent` is set. */
		| {readonly kind: 'lost'; readonly wasSent: boolean; readonly reason: string; readonly retryAfterMs?: number};

/** Connection, services and deadline of an exchange. */
export type ExchangeContext = {
	readonly services: SessionServices;
	readonly loan: ConnectionHandle;
	readonly primary?: Primary;
	readonly deadline: Deadline;
};

/** The part of a step that differs between the steps of an exchange. */
export type ExchangeStep = Pick<ConnectionStep, 'needs' | 'begin' | 'command'> & Partial<Pick<ConnectionStep, 'isSentOnce' | 'isLast'>>;

/** Runs a step and classifies the result; undefined when it had no command and its setup succeeded. */
export async function exchangeStep({services, loan, primary, deadline}: ExchangeContext, step: ExchangeStep): Promise<ExchangeResult | undefined> {
	const requestedAt = services.clock.readNow();
	const endWork = services.upstreams.registerWork(loan.database);
	try {
		const result = await loan.run({
			isSentOnce: false, isLast: false, ...step, primary, deadline,
		});
		if (result.kind === 'prepared') {
			return undefined;
		}

		const {answer} = result;
		recordPosition(services, loan.database, answer);
		recordLag(services, loan.database, answer);
		if (result.kind === 'refused') {
			return {kind: 'not_run', answer, reason: readErrorCode(answer)};
		}

		recordCommandResponse({services, loan, primary}, result, requestedAt);
		if (isMisplaced(step, answer)) {
			services.writeEvent('statement_misplaced', {database: loan.database, state: answer.state, is_last: step.isLast === true});
			return {kind: 'misplaced', reason: 'misplaced'};
		}

		const isRefused = answer.outcome.kind === 'error' && isNotRun(answer.outcome.code);
		return isRefused ? {kind: 'not_run', answer, reason: readErrorCode(answer)} : {kind: 'answered', answer};
	} catch (error) {
		return convertUpstreamError(services, loan.database, error);
	} finally {
		endWork();
	}
}

/** Whether the database ran a command outside its transaction: a single statement or a commit leaves none open, any other statement leaves its own open. */
function isMisplaced({isLast}: ExchangeStep, {outcome, state}: UpstreamResponse): boolean {
	return outcome.kind === 'complete' && state !== (isLast ? 'idle' : 'open');
}

/** Runs a step with a command, which always has a result. */
export async function exchangeCommand(input: ExchangeContext, step: ExchangeStep & Required<Pick<ExchangeStep, 'command'>>): Promise<ExchangeResult> {
	return (await exchangeStep(input, step))!;
}

function readErrorCode({outcome}: UpstreamResponse): string {
	return outcome.kind === 'error' ? outcome.code : '';
}

function recordCommandResponse({services, loan, primary}: Pick<ExchangeContext, 'services' | 'loan' | 'primary'>, {answer, timing}: Extract<StepResult, {kind: 'answered'}>, requestedAt: number): void {
	const hasFailed = answer.outcome.kind === 'error' && (answer.outcome.code === 'failed' || answer.outcome.code === 'timeout');
	services.upstreams.recordResponse(loan.database, {elapsedMs: services.clock.readNow() - requestedAt, timing, hasFailed});
	if (primary && answer.point && services.primacy.isConfirmed(primary)) {
		services.positions.recordPrimaryPosition(primary.group, primary.term, answer.point, requestedAt);
	}
}

function recordPosition(services: SessionServices, database: string, {point}: UpstreamResponse): void {
	if (point) {
		services.positions.recordDatabasePosition(database, point, services.clock.readNow());
	}
}

function recordLag(services: SessionServices, database: string, {outcome}: UpstreamResponse): void {
	if (outcome.kind === 'error' && outcome.code === 'lagging') {
		services.positions.recordLag(database, services.clock.readNow());
	}
}

function convertUpstreamError(services: SessionServices, database: string, error: unknown): ExchangeResult {
	if (!(error instanceof UpstreamError)) {
		throw error;
	}

	services.upstreams.recordFailure(database, error.failure, services.clock.readNow());
	return {
		kind: 'lost', wasSent: error.wasSent, reason: error.failure, retryAfterMs: error.retryAfterMs,
	};
}
