/** Entries of the change log, the totally ordered list of all changes that hosts must agree on. */
import * as z from 'zod';
import {
	contractSchema, groupSettingsSchema, nameSchema, routeSchema,
} from './contract.js';

const termSchema = z.number().int().nonnegative();

/** Log positions of a database are encoded as decimal strings because JSON has no big integers. */
const positionSchema = z.codec(z.string().regex(/^\d{1,20}$/v), z.bigint().nonnegative(), {
	decode: BigInt,
	encode: position => position.toString(),
});

/** The change that an entry makes. Unknown kinds and fields are errors, because ignoring them would lose a change. */
export const changeSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('contractApplied'), contract: contractSchema}),
	z.strictObject({kind: z.literal('contractRemoved'), team: nameSchema}),
	z.strictObject({
		kind: z.literal('keyGiven'), team: nameSchema, keyId: nameSchema, keyHash: z.string().regex(/^[\da-f]{64}$/v),
	}),
	z.strictObject({kind: z.literal('keyWithdrawn'), keyId: nameSchema}),
	z.strictObject({kind: z.literal('routeApplied'), route: routeSchema}),
	z.strictObject({kind: z.literal('groupApplied'), group: groupSettingsSchema}),
	z.strictObject({
		kind: z.literal('promotionStarted'), group: nameSchema, term: termSchema, promoter: nameSchema,
	}),
	z.strictObject({
		kind: z.literal('promotionEnded'), group: nameSchema, term: termSchema, primary: nameSchema, start: positionSchema,
	}),
	z.strictObject({
		kind: z.literal('hostRegistered'), host: nameSchema, incarnation: z.string().min(1), domain: nameSchema, peerAddress: z.string().min(1),
	}),
	z.strictObject({kind: z.literal('hostRemoved'), host: nameSchema, incarnation: z.string().min(1)}),
	z.strictObject({kind: z.literal('upstreamLeft'), group: nameSchema, database: nameSchema}),
	z.strictObject({kind: z.literal('upstreamReturned'), group: nameSchema, database: nameSchema}),
]);

export type Change = z.infer<typeof changeSchema>;

/** Kind of a change, for messages and filters. */
export type ChangeKind = Change['kind'];

/** One entry of the change log. Versions start at 1 and have no gaps; entries are immutable. */
export const logEntrySchema = z.strictObject({
	version: z.number().int().positive(),
	/** Unique id chosen by the writer, so that it can find its entry if the response to the append was lost. */
	operationId: z.string().min(1).max(200),
	/** Operator or host that wrote the entry. */
	author: z.string().min(1).max(200),
	/** Wall-clock time of the writer in ISO 8601; for display only, never used in decisions. */
	writtenAt: z.string(),
	change: changeSchema,
});

export type LogEntry = z.infer<typeof logEntrySchema>;

/** Encodes an entry as JSON text. */
export function encodeLogEntry(entry: LogEntry): string {
	return JSON.stringify(z.encode(logEntrySchema, entry));
}

/**
 * Decodes an entry from JSON text.
 *
 * @throws SyntaxError or ZodError when the text is not a valid entry
 */
export function decodeLogEntry(text: string): LogEntry {
	return logEntrySchema.parse(JSON.parse(text));
}
