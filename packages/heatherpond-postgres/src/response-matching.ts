/** Matches the response of a database to the messages of a request. */
import type {Buffer} from 'node:buffer';
import {BACKEND, type Frame} from 'heatherpond-wire';

/** The expected response to one message. */
export type Expectation = {
	/** Whether a message type ends the response of the database; absent if the proxy answers without the database. */
	readonly end?: (type: number) => boolean;
	/** Bytes sent to the client instead of the response; if absent, the response is forwarded. */
	readonly replacement?: Buffer;
	/** Updates the names of the session; called when the response is complete. */
	readonly apply?: () => void;
	/** Reverts the assumed state of the connection; called if the message was not executed. */
	readonly revert?: () => void;
};

/** Sends one message to the client. */
export type Emit = (bytes: Buffer) => void;

/** Matches the response of a database to the messages of one request. */
export type ResponseMatcher = {
	/** Emits the messages that precede the first message of the database; called once, before `take`. */
	readonly start: (emit: Emit) => void;
	/** Handles the next frame of the response and emits the messages for the client in order. */
	readonly take: (frame: Frame, emit: Emit) => void;
	/** Whether all messages before Sync or Flush were answered. */
	readonly isComplete: () => boolean;
	/** Whether the database reported an error. */
	readonly hasFailed: () => boolean;
};

/** Matches frames to expectations in order. After an error the database skips all messages up to Sync. */
export function createResponseMatcher(expectations: readonly Expectation[]): ResponseMatcher {
	let index = 0;
	let hasFailed = false;

	function endCurrent(emit: Emit, bytes: Buffer): void {
		if (bytes.length > 0) {
			emit(bytes);
		}

		expectations[index]!.apply?.();
		index++;
		start(emit);
	}

	function start(emit: Emit): void {
		const local = expectations[index];
		if (local && !local.end) {
			endCurrent(emit, local.replacement!);
		}
	}

	return {
		start,
		take(frame, emit) {
			if (frame.type === BACKEND.errorResponse) {
				expectations.slice(index).forEach(expectation => {
					expectation.revert?.();
				});
				index = expectations.length;
				hasFailed = true;
				emit(frame.bytes);
				return;
			}

			const current = expectations[index];
			if (current?.end?.(frame.type)) {
				endCurrent(emit, current.replacement ?? frame.bytes);
			} else if (current?.replacement === undefined) {
				emit(frame.bytes);
			}
		},
		isComplete: () => index >= expectations.length,
		hasFailed: () => hasFailed,
	};
}
