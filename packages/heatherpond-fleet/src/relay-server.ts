/** Runs statements of other hosts on the connections that this host holds. */
import type {Clock} from 'heatherpond-core';
import {
	createUpstreamError, UpstreamError, type Loan, type Primary, type UpstreamsPort, type WriteEvent,
} from 'heatherpond-session';
import type {HostLink, HostLinkPort} from './host-links.js';
import {
	convertEnd, convertSentStep, formatRelayMessage, parseRelayMessage, type RelayMessage,
} from './relay-messages.js';

/** What the server needs. */
export type RelayServerOptions = {
	readonly clock: Clock;
	readonly links: HostLinkPort;
	/** Lends connections that this host holds itself. */
	readonly acquire: UpstreamsPort['acquire'];
	readonly applyFailure: UpstreamsPort['applyFailure'];
	/** Tells whether a primary is known to be replaced; nothing is sent to it any more. */
	readonly isReplaced: (primary: Primary) => boolean;
	/** Whether this host is about to end; others are to hold the connections then. */
	readonly isStopping: () => boolean;
	readonly writeEvent: WriteEvent;
};

/** A loan that another host works with; steps of one loan come one after the other. */
type ServedLoan = {readonly loan?: Loan; readonly lifetime: AbortController};

type FirstStep = Extract<RelayMessage, {readonly kind: 'first-step'}>;
type Step = Extract<RelayMessage, {readonly kind: 'first-step' | 'step'}>;

/** Milliseconds within which a transaction whose host is gone is rolled back. */
const ROLLBACK_MS = 350;

/** Starts to serve the links of other hosts. */
export function startRelayServer(options: RelayServerOptions): void {
	options.links.registerServer(link => {
		startLinkService(options, link);
	});
}

function startLinkService(options: RelayServerOptions, link: HostLink): void {
	const {clock, writeEvent} = options;
	const loans = new Map<number, ServedLoan>();

	function send(message: RelayMessage): void {
		link.send(formatRelayMessage(message));
	}

	function endLoan(loan: number, end: (lent: Loan) => void): void {
		const served = loans.get(loan);
		loans.delete(loan);
		served?.lifetime.abort();
		if (served?.loan) {
			end(served.loan);
		}
	}

	async function findLoan(message: Step): Promise<Loan> {
		const known = loans.get(message.loan)?.loan;
		if (message.kind === 'step') {
			if (!known) {
				throw createUpstreamError('the connection of the transaction is gone', 'closed', false);
			}

			return known;
		}

		if (options.isStopping()) {
			throw createUpstreamError('the host that holds the connection is stopping', 'relay', false);
		}

		return acquireLoan(message);
	}

	async function acquireLoan({loan, database, team, priority, variables, step}: FirstStep): Promise<Loan> {
		const lifetime = new AbortController();
		loans.set(loan, {lifetime});
		const lent = await options.acquire(database, {
			team, priority, variables, deadline: clock.readNow() + step.remainingMs, signal: lifetime.signal,
		});
		if (lifetime.signal.aborted) {
			lent.release(true);
			throw createUpstreamError('the loan was given up', 'closed', false);
		}

		loans.set(loan, {loan: lent, lifetime});
		return lent;
	}

	async function runStep(message: Step): Promise<void> {
		const {loan} = message;
		const step = convertSentStep(message.step, clock);
		try {
			const lent = await findLoan(message);
			if (step.primary && options.isReplaced(step.primary)) {
				throw createUpstreamError('the database is no longer primary', 'closed', false);
			}

			const end = await lent.run(step);
			send({kind: 'end', loan, end: convertEnd(end)});
			if (end.kind !== 'prepared' && step.isLast && end.answer.state === 'idle') {
				endLoan(loan, ended => {
					ended.release(true);
				});
			}
		} catch (error) {
			handleFailure(message, error);
		}
	}

	function handleFailure(message: Step, error: unknown): void {
		const {loan} = message;
		const database = loans.get(loan)?.loan?.database ?? (message.kind === 'first-step' ? message.database : undefined);
		endLoan(loan, ended => {
			sendRollback(ended);
		});
		if (!(error instanceof UpstreamError)) {
			writeEvent('relay_step_failed', {database, reason: String(error)});
			send({
				kind: 'failure', loan, failure: 'closed', wasSent: true, reason: String(error),
			});
			return;
		}

		if (database !== undefined) {
			options.applyFailure(database, error.failure, clock.readNow());
		}

		send({
			kind: 'failure', loan, failure: error.failure, wasSent: error.wasSent, reason: error.message,
		});
	}

	function sendRollback(lent: Loan, remainingMs = ROLLBACK_MS): void {
		void lent.rollBack(clock.readNow() + remainingMs).catch((error: unknown) => {
			writeEvent('rollback_lost', {database: lent.database, reason: String(error)});
		});
	}

	function handleMessage(message: RelayMessage | undefined): void {
		switch (message?.kind) {
			case 'first-step':
			case 'step': {
				void runStep(message);
				break;
			}

			case 'release': {
				endLoan(message.loan, lent => {
					lent.release(message.isClean);
				});
				break;
			}

			case 'roll-back': {
				endLoan(message.loan, lent => {
					sendRollback(lent, message.remainingMs);
				});
				break;
			}

			case 'ping': {
				send({kind: 'pong'});
				break;
			}

			default: {
				link.destroy();
				break;
			}
		}
	}

	link.registerListener(text => {
		handleMessage(parseRelayMessage(text));
	});
	link.registerCloseListener(() => {
		[...loans.keys()].forEach(loan => {
			endLoan(loan, lent => {
				sendRollback(lent);
			});
		});
	});
}
