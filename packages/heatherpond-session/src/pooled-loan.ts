/** A loan of a connection that this process holds. */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import {applySetup, collectSetup} from './connection-setup.js';
import type {Loan, StepEnd, WorkStep} from './loan.js';
import {createUpstreamError, UpstreamError} from './session-error.js';
import type {UpstreamAnswer, UpstreamCommand, UpstreamConnection} from './upstream-connection.js';

/** A connection and what is known to be set up on it. */
export type PooledConnection = {
	readonly upstream: UpstreamConnection;
	readonly variables: Map<string, string>;
	/** Upstream names of prepared statements. */
	readonly statements: Set<string>;
	idleSince: Instant;
};

/** What happens to a loan. */
export type PooledLoanOptions = {
	readonly clock: Clock;
	readonly connection: PooledConnection;
	/** Called once when the loan ends, before the connection is given back or closed. */
	readonly handleEnd: () => void;
	/** Takes a clean connection back. */
	readonly applyRelease: (connection: PooledConnection) => void;
};

/** Milliseconds within which a database answers commands that it does no work for. */
const SETUP_TIMEOUT_MS = 300;
/** Milliseconds of idleness after which a connection may have gone silent unnoticed. */
const TRUSTED_IDLE_MS = 500;

/** Creates a loan. */
export function createPooledLoan({clock, connection, handleEnd, applyRelease}: PooledLoanOptions): Loan {
	const {upstream} = connection;
	let isReleased = false;

	function release(isClean: boolean): void {
		if (isReleased) {
			return;
		}

		isReleased = true;
		handleEnd();
		if (isClean) {
			applyRelease(connection);
		} else {
			upstream.destroy();
		}
	}

	return {
		database: upstream.database,
		team: upstream.team,
		async run(step) {
			const refused = await runSetup(clock, connection, step);
			if (refused) {
				return {kind: 'refused', answer: refused};
			}

			if (!step.command) {
				return {kind: 'prepared'};
			}

			const [answer] = await upstream.exchange([step.command], step.deadline);
			return {kind: 'answered', answer: answer!} satisfies StepEnd;
		},
		release,
		async rollBack(deadline) {
			if (!upstream.isOpen()) {
				release(false);
				return;
			}

			try {
				const [answer] = await upstream.exchange([{kind: 'rollback'}], deadline);
				release(answer?.state === 'idle');
			} catch (error) {
				release(false);
				throw error;
			}
		},
	};
}

/** Brings the connection to what the step needs, and opens its transaction; returns the answer that refused it, if one did. */
async function runSetup(clock: Clock, connection: PooledConnection, step: WorkStep): Promise<UpstreamAnswer | undefined> {
	const commands = collectCommands(connection, step, clock.readNow());
	if (commands.length === 0) {
		return undefined;
	}

	const deadline: Deadline = Math.min(step.deadline, clock.readNow() + SETUP_TIMEOUT_MS);
	const answers = await exchangeSetup(connection.upstream, commands, deadline);
	applySetup(connection, commands.filter((_, index) => answers[index]!.outcome.kind === 'complete'));
	return answers.find(({outcome}) => outcome.kind === 'error');
}

function collectCommands(connection: PooledConnection, {needs, begin, isSentOnce}: WorkStep, now: Instant): readonly UpstreamCommand[] {
	const isChecked = isSentOnce && now - connection.idleSince > TRUSTED_IDLE_MS;
	return [
		...(needs ? collectSetup(connection, {...needs, isChecked}) : []),
		...(begin ? [{kind: 'begin', ...begin} as const] : []),
	];
}

/** The command that follows was not sent when the setup is lost. */
async function exchangeSetup(upstream: UpstreamConnection, commands: readonly UpstreamCommand[], deadline: Deadline): Promise<readonly UpstreamAnswer[]> {
	try {
		return await upstream.exchange(commands, deadline);
	} catch (error) {
		throw error instanceof UpstreamError ? createUpstreamError(error.message, error.failure, false) : error;
	}
}
