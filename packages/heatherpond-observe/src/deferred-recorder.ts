/**
 * Recorder whose receiver is loaded on demand. A process that is never asked for its metrics does not load the metrics
 * libraries, unless it has recorded more than the buffer holds.
 */

/** Buffers observations until their receiver is loaded. */
export type DeferredRecorder<Observation, Receiver> = {
	readonly record: (observation: Observation) => void;
	/** Loads the receiver on the first call and passes the buffered observations to it; rejects when it cannot be loaded. */
	readonly load: () => Promise<Receiver>;
};

/** Dependencies of a deferred recorder. */
export type DeferredRecorderOptions<Observation, Receiver> = {
	readonly load: () => Promise<Receiver>;
	readonly record: (receiver: Receiver, observation: Observation) => void;
	/** Number of buffered observations at which the receiver is loaded. */
	readonly maxBuffered: number;
	/** Called when loading because of a full buffer has failed; the observations are discarded. */
	readonly handleFailure: (error: unknown) => void;
};

/** Creates a recorder whose receiver is not loaded yet. */
export function createDeferredRecorder<Observation, Receiver>({load, record, maxBuffered, handleFailure}: DeferredRecorderOptions<Observation, Receiver>): DeferredRecorder<Observation, Receiver> {
	let buffered: Observation[] = [];
	let loading: Promise<Receiver> | undefined;
	let receiver: Receiver | undefined;

	async function openReceiver(): Promise<Receiver> {
		const loaded = await load();
		buffered.forEach(observation => {
			record(loaded, observation);
		});
		buffered = [];
		receiver = loaded;
		return loaded;
	}

	async function openOnce(): Promise<Receiver> {
		loading ??= openReceiver();
		try {
			return await loading;
		} catch (error) {
			loading = undefined;
			buffered = [];
			throw error;
		}
	}

	return {
		record(observation) {
			if (receiver !== undefined) {
				record(receiver, observation);
				return;
			}

			buffered.push(observation);
			if (buffered.length === maxBuffered) {
				openOnce().catch(handleFailure);
			}
		},
		load: openOnce,
	};
}
