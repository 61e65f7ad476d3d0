/** Cancellation of one request. The abort signal is created on first use, because most requests never wait for anything. */

/** Cancels one request and the upstream connection that runs it. */
export type Cancellation = {
	readonly isCanceled: () => boolean;
	/** Aborted when the request is canceled or its client has disconnected. */
	readonly signal: AbortSignal;
	readonly cancel: () => void;
	/**
	 * Sets the function that destroys the upstream connection in use, or `undefined` if none is in use. Calls it at once
	 * if the request has already been canceled.
	 */
	readonly updateDestroyer: (destroy: (() => void) | undefined) => void;
};

/** Creates the cancellation of a request. */
export function createCancellation(): Cancellation {
	let controller: AbortController | undefined;
	let isCanceled = false;
	let destroyConnection: (() => void) | undefined;

	return {
		isCanceled: () => isCanceled,
		get signal() {
			if (!controller) {
				controller = new AbortController();
				if (isCanceled) {
					controller.abort();
				}
			}

			return controller.signal;
		},
		cancel() {
			isCanceled = true;
			controller?.abort();
			destroyConnection?.();
		},
		updateDestroyer(destroy) {
			destroyConnection = destroy;
			if (isCanceled) {
				destroy?.();
			}
		},
	};
}
