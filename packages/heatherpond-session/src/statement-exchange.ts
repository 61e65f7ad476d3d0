/** Exchanges one statement with a database, and records what its answer tells of the database. */
import type {Deadline} from 'heatherpond-core';
import type {Loan, WorkStep} from './loan.js';
import {UpstreamError} from './session-error.js';
import type {Primary, SessionServices} from './session-services.js';
import {isNotRun, type UpstreamAnswer} from './upstream-connection.js';

/** How an exchange ended. */
export type ExchangeEnd
	= | {readonly kind: 'answered'; readonly answer: UpstreamAnswer}
	/** The database refused; nothing was run. */
		| {readonly kind: 'not_run'; readonly answer: UpstreamAnswer; readonly reason: string}
	/** The connection is gone; the statement may have been run if it was sent. */
		| {readonly kind: 'lost'; readonly wasSent: boolean; readonly reason: string};

/** What an exchange is made of. */
export type ExchangeInput = {
	readonly services: SessionServices;
	readonly loan: Loan;
	readonly primary?: Primary;
	readonly deadline: Deadline;
};

/** What is to be done; the rest is the same for all steps of an exchange. */
export type ExchangeStep = Pick<WorkStep, 'needs' | 'begin' | 'command'> & Partial<Pick<WorkStep, 'isSentOnce' | 'isLast'>>;

/** Runs a step and classifies its end; nothing when it had no command and was accepted. */
export async function exchangeStep({services, loan, primary, deadline}: ExchangeInput, step: ExchangeStep): Promise<ExchangeEnd | undefined> {
	const askedAt = services.clock.readNow();
	const endWork = services.upstreams.registerWork(loan.database);
	try {
		const end = await loan.run({
			isSentOnce: false, isLast: false, ...step, primary, deadline,
		});
		if (end.kind === 'prepared') {
			return undefined;
		}

		const {answer} = end;
		applyPoint(services, loan.database, answer);
		applyLag(services, loan.database, answer);
		if (end.kind === 'refused') {
			return {kind: 'not_run', answer, reason: readErrorCode(answer)};
		}

		applyCommandAnswer({services, loan, primary}, answer, askedAt);
		const isRefused = answer.outcome.kind === 'error' && isNotRun(answer.outcome.code);
		return isRefused ? {kind: 'not_run', answer, reason: readErrorCode(answer)} : {kind: 'answered', answer};
	} catch (error) {
		return convertLoss(services, loan.database, error);
	} finally {
		endWork();
	}
}

/** Runs a step that has a command. */
export async function exchangeCommand(input: ExchangeInput, step: ExchangeStep & Required<Pick<ExchangeStep, 'command'>>): Promise<ExchangeEnd> {
	return (await exchangeStep(input, step))!;
}

function readErrorCode({outcome}: UpstreamAnswer): string {
	return outcome.kind === 'error' ? outcome.code : '';
}

function applyCommandAnswer({services, loan, primary}: Pick<ExchangeInput, 'services' | 'loan' | 'primary'>, answer: UpstreamAnswer, askedAt: number): void {
	const now = services.clock.readNow();
	services.upstreams.applyAnswer(loan.database, now - askedAt, now);
	if (primary && answer.point && services.primacy.isProven(primary)) {
		services.positions.applyPrimaryPoint(primary.group, primary.term, answer.point, askedAt);
	}
}

function applyPoint(services: SessionServices, database: string, {point}: UpstreamAnswer): void {
	if (point) {
		services.positions.applyDatabasePoint(database, point, services.clock.readNow());
	}
}

function applyLag(services: SessionServices, database: string, {outcome}: UpstreamAnswer): void {
	if (outcome.kind === 'error' && outcome.code === 'lagging') {
		services.positions.applyLag(database, services.clock.readNow());
	}
}

function convertLoss(services: SessionServices, database: string, error: unknown): ExchangeEnd {
	if (!(error instanceof UpstreamError)) {
		throw error;
	}

	services.upstreams.applyFailure(database, error.failure, services.clock.readNow());
	return {kind: 'lost', wasSent: error.wasSent, reason: error.failure};
}
