/** Maps cancellation keys, that is, process id and secret, to the sessions of this host. */
import {randomInt} from 'node:crypto';

/** Cancellation key of a session, with which a client cancels a request over another connection. */
export type CancelKey = {readonly processId: number; readonly secret: number};

/** Registry of the sessions of one host whose requests can be canceled. */
export type CancelRegistry = {
	/** Registers a session and returns its random key; `cancel` cancels the request in progress. */
	readonly register: (cancel: () => void) => CancelKey;
	readonly remove: (key: CancelKey) => void;
	/** Cancels the request of the session with this key; an unknown process id or a wrong secret has no effect. */
	readonly cancel: (key: CancelKey) => void;
};

const MAX_INT32 = 2_147_483_647;

/** Creates an empty registry. */
export function createCancelRegistry(): CancelRegistry {
	const sessions = new Map<number, {readonly secret: number; readonly cancel: () => void}>();

	function createProcessId(): number {
		const processId = randomInt(1, MAX_INT32);
		return sessions.has(processId) ? createProcessId() : processId;
	}

	return {
		register(cancel) {
			const key: CancelKey = {processId: createProcessId(), secret: randomInt(-MAX_INT32, MAX_INT32)};
			sessions.set(key.processId, {secret: key.secret, cancel});
			return key;
		},
		remove(key) {
			sessions.delete(key.processId);
		},
		cancel(key) {
			const session = sessions.get(key.processId);
			if (session?.secret === key.secret) {
				session.cancel();
			}
		},
	};
}
