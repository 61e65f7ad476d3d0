/**
 * Sends several texts for the same host in one datagram. A datagram wakes its receiver whatever its length, and on a host that
 * is mostly idle a wake-up costs more processor time than the text does. A text may wait until a deadline for another one to
 * travel with; texts without a deadline are sent at once, together with those that wait.
 */
import type {Clock, Deadline, Teardown} from 'heatherpond-core';
import type {DatagramPort} from './datagram-parts.js';

/** Sends and receives texts that share datagrams. */
export type DatagramBatches = {
	/**
	 * Sends a text without a line feed. `createText` is called when it is sent, which is by `sendBy`, by default now; a later text
	 * with the same topic takes its place.
	 */
	readonly send: (createText: () => string, receiver: DatagramAddress, options?: SendOptions) => void;
	readonly registerListener: (listener: (text: string) => void) => void;
};

/** When a text is sent at the latest, and what it is about: of the texts with one topic, only the last one is sent. */
export type SendOptions = {readonly sendBy: Deadline; readonly topic?: string};

const AT_ONCE: SendOptions = {sendBy: Number.NEGATIVE_INFINITY};

/** Address of a host. */
export type DatagramAddress = {readonly address: string; readonly port: number};

/** Separates the texts of a datagram. */
const SEPARATOR = '\n';

type WaitingText = {readonly topic?: string; readonly createText: () => string};

/** Texts that wait for a datagram to the same host. */
type Batch = {readonly receiver: DatagramAddress; texts: readonly WaitingText[]; sendBy: Deadline; stopTimer: Teardown};

/** Wraps a datagram port. */
export function createDatagramBatches(port: DatagramPort, clock: Clock): DatagramBatches {
	const batches = new Map<string, Batch>();
	/** Whether received texts are being handled; the responses to them are sent together afterwards. */
	let isHandling = false;

	function sendBatch(key: string, {receiver, texts, stopTimer}: Batch): void {
		stopTimer();
		batches.delete(key);
		port.send(texts.map(({createText}) => createText()).join(SEPARATOR), receiver.address, receiver.port);
	}

	function sendDue(): void {
		const now = clock.readNow();
		[...batches].filter(([, {sendBy}]) => sendBy <= now).forEach(([key, batch]) => {
			sendBatch(key, batch);
		});
	}

	function findBatch(key: string, receiver: DatagramAddress): Batch {
		const known = batches.get(key);
		if (known) {
			return known;
		}

		const created: Batch = {
			receiver, texts: [], sendBy: Number.POSITIVE_INFINITY, stopTimer: () => undefined,
		};
		batches.set(key, created);
		return created;
	}

	return {
		send(createText, receiver, {sendBy, topic} = AT_ONCE) {
			const key = `${receiver.address}:${receiver.port}`;
			const batch = findBatch(key, receiver);
			batch.texts = [...batch.texts.filter(other => topic === undefined || other.topic !== topic), {topic, createText}];
			if (sendBy >= batch.sendBy) {
				return;
			}

			batch.sendBy = sendBy;
			if (sendBy > clock.readNow()) {
				batch.stopTimer();
				batch.stopTimer = clock.registerTimer(sendBy, () => {
					sendBatch(key, batch);
				});
			} else if (!isHandling) {
				sendBatch(key, batch);
			}
		},
		registerListener(listener) {
			port.registerListener(datagram => {
				isHandling = true;
				try {
					datagram.split(SEPARATOR).forEach(listener);
				} finally {
					isHandling = false;
					sendDue();
				}
			});
		},
	};
}
