/**
 * Bounds the memory that messages under way take in this process: statements that arrive, wait or run, and responses on their way
 * to clients. The load in mind is many clients that send large values at once. Each connection has a small part that is always
 * its own, so that ordinary statements go on while there is no room for large ones.
 */

/** Memory of the messages under way in one process. */
export type MessageMemory = {
	/** Takes room for so many more bytes; returns whether there is any. */
	readonly reserve: (bytes: number) => boolean;
	/** Gives back room that has been taken. */
	readonly release: (bytes: number) => void;
	/** Reads how many bytes are taken. */
	readonly countReserved: () => number;
};

/** Room of one connection: what it holds beyond its own part is taken from the memory of the process. */
export type ConnectionMemory = {
	/** Adjusts the room to what the connection holds now; returns false, and keeps the room as it is, when there is not enough. */
	readonly update: (heldBytes: number) => boolean;
	/** Gives back all room; later updates have no effect. */
	readonly end: () => void;
};

/** Part of each connection, in bytes. */
export const CONNECTION_PART_BYTES = 4096;

/** Creates a memory with nothing taken. */
export function createMessageMemory(limitBytes: number): MessageMemory {
	let reserved = 0;
	return {
		reserve(bytes) {
			const hasRoom = reserved + bytes <= limitBytes;
			reserved += hasRoom ? bytes : 0;
			return hasRoom;
		},
		release(bytes) {
			reserved -= bytes;
		},
		countReserved: () => reserved,
	};
}

/** Creates the room of a new connection. */
export function createConnectionMemory(memory: MessageMemory): ConnectionMemory {
	let reserved = 0;
	let isEnded = false;
	return {
		update(heldBytes) {
			const wanted = isEnded ? 0 : Math.max(0, heldBytes - CONNECTION_PART_BYTES);
			if (wanted > reserved && !memory.reserve(wanted - reserved)) {
				return false;
			}

			if (wanted < reserved) {
				memory.release(reserved - wanted);
			}

			reserved = wanted;
			return true;
		},
		end() {
			isEnded = true;
			memory.release(reserved);
			reserved = 0;
		},
	};
}
