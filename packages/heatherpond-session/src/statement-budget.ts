/** Budgets of databases that may get few statements for now: each statement takes its part before it is sent. */
import {waitUntil} from 'heatherpond-core';
import type {RunningStatement} from './running-statement.js';
import type {SessionServices} from './session-services.js';

/** A statement that needs room in a budget. */
export type BudgetedStatement = {readonly services: SessionServices; readonly running: RunningStatement; readonly signal: AbortSignal};

/** Takes the statement from the budget of its database, if that has one; without room, another database is tried. */
export async function hasBudget({services, running}: Pick<BudgetedStatement, 'services' | 'running'>, database: string): Promise<boolean> {
	const retryAfterMs = await services.upstreams.findBudget(database)?.() ?? 0;
	if (retryAfterMs > 0) {
		running.failed.add(database);
		running.lastFailureReason = 'cold';
	}

	return retryAfterMs === 0;
}

/** Waits until the budget of a database has room for the next statement of an open transaction, at most until the deadline of the statement; resolves to whether there is room. */
export async function waitForBudget({services, running, signal}: BudgetedStatement, database: string): Promise<boolean> {
	const {clock, upstreams} = services;
	while (!signal.aborted && clock.readNow() < running.deadline) {
		const retryAfterMs = await upstreams.findBudget(database)?.() ?? 0;
		if (retryAfterMs === 0) {
			return true;
		}

		await waitUntil(clock, Math.min(running.deadline, clock.readNow() + retryAfterMs), signal);
	}

	return false;
}
