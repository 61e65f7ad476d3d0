/** Runs statements of other hosts on the connections that this host holds. */
import type {Clock} from 'heatherpond-core';
import {
	createUpstreamError, UpstreamError, type Loan, type Primary, type UpstreamsPort, type WriteEvent,
} from 'heatherpond-session';
import type {HostLink, HostLinkPort} from './host-links.js';
import {
	encodeStepEnd, decodeStep, formatRelayMessage, parseRelayMessage, type RelayMessage,
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
type ServedConnection = {readonly connection?: Loan; readonly lifetime: AbortController};

type FirstStep = Extract<RelayMessage, {readonly kind: 'first-step'}>;
type Step = Extract<RelayMessage, {readonly kind: 'first-step' | 'step'}>;

/** Milliseconds within which a transaction whose host is gone is rolled back. */
const ROLLBACK_TIMEOUT_MS = 350;

/** Starts to serve the links of other hosts. */
export function startRelayServer(options: RelayServerOptions): void {
	options.links.registerServer(link => {
		serveLink(options, link);
	});
}

function serveLink(options: RelayServerOptions, link: HostLink): void {
	const {clock, writeEvent} = options;
	const servedConnections = new Map<number, ServedConnection>();

	function send(message: RelayMessage): void {
		link.send(formatRelayMessage(message));
	}

	function stopServing(loan: number, end: (connection: Loan) => void): void {
		const served = servedConnections.get(loan);
		servedConnections.delete(loan);
		served?.lifetime.abort();
		if (served?.connection) {
			end(served.connection);
		}
	}

	async function findConnection(message: Step): Promise<Loan> {
		const known = servedConnections.get(message.loan)?.connection;
		if (message.kind === 'step') {
			if (!known) {
				throw createUpstreamError('the connection of the transaction is gone', 'closed', false);
			}

			return known;
		}

		if (options.isStopping()) {
			throw createUpstreamError('the host that holds the connection is stopping', 'relay', false);
		}

		return acquireConnection(message);
	}

	async function acquireConnection({loan, database, team, priority, variables, step}: FirstStep): Promise<Loan> {
		const lifetime = new AbortController();
		servedConnections.set(loan, {lifetime});
		const connection = await options.acquire(database, {
			team, priority, variables, deadline: clock.readNow() + step.remainingMs, signal: lifetime.signal,
		});
		if (lifetime.signal.aborted) {
			connection.release(true);
			throw createUpstreamError('the loan was given up', 'closed', false);
		}

		servedConnections.set(loan, {connection, lifetime});
		return connection;
	}

	async function runStep(message: Step): Promise<void> {
		const {loan} = message;
		const step = decodeStep(message.step, clock);
		try {
			const connection = await findConnection(message);
			if (step.primary && options.isReplaced(step.primary)) {
				throw createUpstreamError('the database is no longer primary', 'closed', false);
			}

			const end = await connection.run(step);
			send({kind: 'end', loan, end: encodeStepEnd(end)});
			if (end.kind !== 'prepared' && step.isLast && end.answer.state === 'idle') {
				stopServing(loan, idle => {
					idle.release(true);
				});
			}
		} catch (error) {
			handleFailure(message, error);
		}
	}

	function handleFailure(message: Step, error: unknown): void {
		const {loan} = message;
		const database = servedConnections.get(loan)?.connection?.database ?? (message.kind === 'first-step' ? message.database : undefined);
		stopServing(loan, connection => {
			sendRollback(connection);
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

	function sendRollback(connection: Loan, remainingMs = ROLLBACK_TIMEOUT_MS): void {
		void connection.rollBack(clock.readNow() + remainingMs).catch((error: unknown) => {
			writeEvent('rollback_lost', {database: connection.database, reason: String(error)});
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
				stopServing(message.loan, connection => {
					connection.release(message.isClean);
				});
				break;
			}

			case 'roll-back': {
				stopServing(message.loan, connection => {
					sendRollback(connection, message.remainingMs);
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
		[...servedConnections.keys()].forEach(loan => {
			stopServing(loan, connection => {
				sendRollback(connection);
			});
		});
	});
}
