/**
 * Sends texts that are too long for one datagram in several parts. A text of which a part is lost is discarded: the senders
 * of long texts repeat them or fall back to the store.
 */
import type {Clock, Instant} from 'heatherpond-core';

/** Sends and receives datagrams. */
export type DatagramPort = {
	readonly send: (text: string, address: string, port: number) => void;
	readonly registerListener: (listener: (text: string) => void) => void;
};

/** Maximum length of a datagram, in characters. */
const MAX_DATAGRAM_CHARACTERS = 8000;
/** Maximum number of parts of a text. */
const MAX_PARTS = 64;
/** Maximum number of incomplete texts that are kept, and the time for which they are kept, in milliseconds. */
const MAX_INCOMPLETE_TEXTS = 64;
const INCOMPLETE_TEXT_RETENTION_MS = 2000;
/** First character of a part; other texts are JSON and begin with a brace. */
const PART_MARK = '#';

/** The parts of a text that have arrived; `expiresAt` is when they are given up. */
type IncompleteText = {readonly parts: Map<number, string>; readonly expiresAt: Instant};

/** Wraps a datagram port so that it accepts long texts; `sender` is unique to this run of the process. */
export function createDatagramParts(port: DatagramPort, clock: Clock, sender: string): DatagramPort {
	const incomplete = new Map<string, IncompleteText>();
	let sequence = 0;

	function findIncomplete(id: string): IncompleteText {
		const now = clock.readNow();
		const known = incomplete.get(id);
		if (known) {
			return known;
		}

		[...incomplete].filter(([, {expiresAt}]) => expiresAt <= now).forEach(([expired]) => {
			incomplete.delete(expired);
		});
		if (incomplete.size >= MAX_INCOMPLETE_TEXTS) {
			incomplete.delete([...incomplete.keys()][0]!);
		}

		const created: IncompleteText = {parts: new Map(), expiresAt: now + INCOMPLETE_TEXT_RETENTION_MS};
		incomplete.set(id, created);
		return created;
	}

	/** Adds a part; returns the text when it is complete. */
	function insertPart(datagram: string): string | undefined {
		const part = parsePart(datagram);
		if (!part) {
			return undefined;
		}

		const {parts} = findIncomplete(part.id);
		parts.set(part.index, part.text);
		if (parts.size < part.count) {
			return undefined;
		}

		incomplete.delete(part.id);
		return Array.from({length: part.count}, (_, index) => parts.get(index) ?? '').join('');
	}

	return {
		send(text, address, targetPort) {
			if (text.length <= MAX_DATAGRAM_CHARACTERS) {
				port.send(text, address, targetPort);
				return;
			}

			sequence++;
			const parts = createParts(text);
			parts.forEach((part, index) => {
				port.send(`${PART_MARK}${sender}-${sequence} ${index} ${parts.length}\n${part}`, address, targetPort);
			});
		},
		registerListener(listener) {
			port.registerListener(datagram => {
				const text = datagram.startsWith(PART_MARK) ? insertPart(datagram) : datagram;
				if (text !== undefined) {
					listener(text);
				}
			});
		},
	};
}

/** Splits a text, but never inside a surrogate pair, whose halves cannot be encoded on their own. */
function createParts(text: string): readonly string[] {
	if (text.length <= MAX_DATAGRAM_CHARACTERS) {
		return [text];
	}

	const isPairSplit = /[\uD800-\uDBFF]/v.test(text.charAt(MAX_DATAGRAM_CHARACTERS - 1));
	const end = isPairSplit ? MAX_DATAGRAM_CHARACTERS - 1 : MAX_DATAGRAM_CHARACTERS;
	return [text.slice(0, end), ...createParts(text.slice(end))];
}

type Part = {readonly id: string; readonly index: number; readonly count: number; readonly text: string};

/** Parses a part; returns nothing when its header is invalid. */
function parsePart(datagram: string): Part | undefined {
	const end = datagram.indexOf('\n');
	const [id = '', index, count] = datagram.slice(PART_MARK.length, end).split(' ');
	const part: Part = {
		id, index: Number(index), count: Number(count), text: datagram.slice(end + 1),
	};
	const isValid = end > 0 && Number.isInteger(part.index) && Number.isInteger(part.count) && part.index >= 0 && part.index < part.count && part.count <= MAX_PARTS;
	return isValid ? part : undefined;
}
