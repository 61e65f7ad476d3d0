/** Server of a relay: runs statements of other hosts on the connections of this host. */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import {
	CONNECTION_PART_BYTES, createConnectionMemory, createOverloadError, createUpstreamError, UpstreamError, type ConnectionHandle, type MessageMemory, type Primary, type StepResult, type UpstreamFailure, type UpstreamsPort, type WriteEvent,
} from 'heatherpond-session';
import {MAX_LINK_TEXT_LENGTH, type HostLink, type HostLinkPort} from './host-links.js';
import {
	encodeStepEnd, decodeStep, formatRelayMessage, parseRelayMessage, type RelayMessage,
} from './relay-messages.js';

/** Dependencies of the server. */
export type RelayServerOptions = {
	readonly clock: Clock;
	readonly links: HostLinkPort;
	/** Memory for the messages that are under way. */
	readonly memory: MessageMemory;
	readonly random: () => number;
	/** Acquires a connection from the pools of this host. */
	readonly acquire: UpstreamsPort['acquire'];
	readonly recordFailure: UpstreamsPort['recordFailure'];
	/** Whether a primary is known to be replaced; steps for it are refused. */
	readonly isReplaced: (primary: Primary) => boolean;
	/** Reads from when on the clock of this host has measured all time. */
	readonly readClockValidFrom: () => Instant;
	/** Whether this host is shutting down; it then refuses new work, so that clients use another relay. */
	readonly isStopping: () => boolean;
	readonly writeEvent: WriteEvent;
};

/** A connection in use by another host, which sends its steps one after another; without a connection it is still being acquired. */
type ServedConnection = {readonly loan?: ConnectionHandle; readonly lifetime: AbortController};

type FirstStep = Extract<RelayMessage, {readonly kind: 'first-step'}>;
type Step = Extract<RelayMessage, {readonly kind: 'first-step' | 'step'}>;
/** A message to the host that uses the relay, before the clock is added. */
type UntimedMessage = DistributiveOmit<Extract<RelayMessage, {readonly sentAt: Instant}>, 'sentAt'>;
type DistributiveOmit<Message, Key extends PropertyKey> = Message extends unknown ? Omit<Message, Key> : never;

/** Mean retry-after hint, in milliseconds, while messages under way take up all memory for them. */
const MEMORY_RETRY_AFTER_MS = 250;

function countBytes({step: {command, needs}}: Step): number {
	const variables = [...needs?.variables ?? []].flat();
	return [...variables, needs?.statement?.shape ?? '', readCommandText(command)].reduce((sum, text) => sum + text.length, 0);
}

function readCommandText(command: Step['step']['command']): string {
	switch (command?.kind) {
		case 'forward': {
			return command.text;
		}

		case 'execute': {
			return command.arguments;
		}

		default: {
			return '';
		}
	}
}

/** Adds how long the relay held a step to its result. */
function recordHeldTime(result: StepResult, heldMs: number): StepResult {
	return result.kind === 'answered' && result.timing ? {...result, timing: {ranMs: Math.round(result.timing.ranMs), heldMs: Math.round(heldMs)}} : result;
}

/** A running relay server. */
export type RelayServer = {
	/** Hands back the work that waits for a connection, so that the hosts that sent it find another way at once. */
	readonly startShutdown: () => void;
};

/** Starts to serve links that other hosts open. */
export function startRelayServer(options: RelayServerOptions): RelayServer {
	const servedLinks = new Set<ServedLink>();
	options.links.registerServer(link => {
		const served = startServingLink(options, link);
		servedLinks.add(served);
		link.registerCloseListener(() => {
			servedLinks.delete(served);
		});
	});
	return {
		startShutdown() {
			servedLinks.forEach(({cancelWaiting}) => {
				cancelWaiting();
			});
		},
	};
}

/** A link that is being served; `cancelWaiting` ends the waits for connections. */
type ServedLink = {readonly cancelWaiting: () => void};

function startServingLink(options: RelayServerOptions, link: HostLink): ServedLink {
	const {clock, writeEvent} = options;
	const servedConnections = new Map<number, ServedConnection>();

	/**
	 * Sends the result of a step, or a sign of life, with what the clock says.
	 *
	 * @throws UpstreamError when the result is longer than what a link carries
	 */
	function sendTimed(message: UntimedMessage): void {
		// Rounded down, what the clock says stays true, and the message short.
		const text = formatRelayMessage({...message, sentAt: Math.floor(clock.readNow())});
		if (text.length > MAX_LINK_TEXT_LENGTH) {
			throw createUpstreamError('the response is longer than what a link carries', 'no_memory', true);
		}

		link.send(text);
	}

	/** Cancels what waits for a connection, and releases it. */
	function stopServing(loan: number): void {
		const served = servedConnections.get(loan);
		servedConnections.delete(loan);
		served?.lifetime.abort();
		served?.loan?.release();
	}

	async function findConnection(message: Step, deadline: Deadline): Promise<ConnectionHandle> {
		const known = servedConnections.get(message.loan)?.loan;
		if (message.kind === 'step') {
			if (!known) {
				throw createUpstreamError('connection of the transaction is no longer open on the relay', 'closed', false);
			}

			return known;
		}

		if (options.isStopping()) {
			throw createUpstreamError('relay is shutting down', 'relay', false);
		}

		return acquireConnection(message, deadline);
	}

	async function acquireConnection({loan, database, team, priority, variables, objectiveMs}: FirstStep, deadline: Deadline): Promise<ConnectionHandle> {
		const lifetime = new AbortController();
		servedConnections.set(loan, {lifetime});
		const connection = await options.acquire(database, {
			team, priority, variables, deadline, signal: lifetime.signal,
			objective: objectiveMs === undefined ? undefined : clock.readNow() + objectiveMs,
		});
		if (lifetime.signal.aborted) {
			connection.release();
			throw createUpstreamError('request was cancelled while the relay acquired a connection', 'cancelled', false);
		}

		servedConnections.set(loan, {loan: connection, lifetime});
		return connection;
	}

	/** Runs a step with a statement that fits into the memory for messages, and refuses any other. */
	async function handleStep(message: Step): Promise<void> {
		const bytes = countBytes(message);
		if (bytes <= CONNECTION_PART_BYTES) {
			await runStep(message);
			return;
		}

		const room = createConnectionMemory(options.memory);
		if (room.update(bytes)) {
			await runStep(message).finally(room.end);
		} else {
			handleFailure(message, createOverloadError(Math.round(MEMORY_RETRY_AFTER_MS * (0.5 + options.random()))));
		}
	}

	async function runStep(message: Step): Promise<void> {
		const {loan} = message;
		const receivedAt = clock.readNow();
		const step = decodeStep(message.step, clock, options.readClockValidFrom());
		try {
			const connection = await findConnection(message, step.deadline);
			if (step.primary && options.isReplaced(step.primary)) {
				throw createUpstreamError('database is no longer primary', 'closed', false);
			}

			const end = recordHeldTime(await connection.run(step), clock.readNow() - receivedAt);
			sendTimed({kind: 'end', loan, end: encodeStepEnd(end)});
			if (end.kind !== 'prepared' && step.isLast && end.answer.state === 'idle') {
				stopServing(loan);
			}
		} catch (error) {
			handleFailure(message, error);
		}
	}

	function handleFailure(message: Step, error: unknown): void {
		const {loan} = message;
		const database = servedConnections.get(loan)?.loan?.database ?? (message.kind === 'first-step' ? message.database : undefined);
		stopServing(loan);
		if (!(error instanceof UpstreamError)) {
			writeEvent('relay_step_failed', {database, reason: String(error)});
			sendTimed({
				kind: 'failure', loan, failure: 'closed', wasSent: true, reason: String(error),
			});
			return;
		}

		if (database !== undefined) {
			options.recordFailure(database, error.failure, clock.readNow());
		}

		sendTimed({
			kind: 'failure', loan, failure: convertFailure(error.failure), wasSent: error.wasSent, reason: error.message, retryAfterMs: error.retryAfterMs,
		});
	}

	/** A wait that ends because this host stops is no reason to try again here. */
	function convertFailure(failure: UpstreamFailure): Exclude<UpstreamFailure, 'cancelled'> {
		if (failure !== 'cancelled') {
			return failure;
		}

		return options.isStopping() ? 'relay' : 'closed';
	}

	function handleMessage(message: RelayMessage | undefined): void {
		switch (message?.kind) {
			case 'first-step':
			case 'step': {
				void handleStep(message);
				break;
			}

			case 'release': {
				stopServing(message.loan);
				break;
			}

			case 'ping': {
				sendTimed({kind: 'pong'});
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
			stopServing(loan);
		});
	});
	return {
		cancelWaiting() {
			[...servedConnections.values()].filter(({loan}) => loan === undefined).forEach(({lifetime}) => {
				lifetime.abort();
			});
		},
	};
}
