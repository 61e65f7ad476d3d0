/** Record of one load request and its outcome. */
import * as z from 'zod';

/** `answered`: success; `notRun`: refused before it ran; `unknown`: write that may have run; `failed`: other errors. */
export const outcomeSchema = z.enum(['answered', 'notRun', 'unknown', 'failed']);

/** Outcome of a request. */
export type RequestOutcome = z.infer<typeof outcomeSchema>;

/** Schema of a request record. */
export const requestRecordSchema = z.object({
	team: z.string(),
	session: z.string(),
	route: z.string(),
	kind: z.enum(['write', 'ownRead', 'staleRead']),
	key: z.string(),
	/** Value that the write stores, or that the read is expected to return. */
	expected: z.string(),
	/** Value that the read returned; absent if it returned no row. */
	found: z.string().optional(),
	outcome: outcomeSchema,
	/** SQLSTATE, driver error code, or `lost` for errors without a code; absent if answered. */
	code: z.string().optional(),
	/** Start in milliseconds since the start of the load; `endedAt` is on the same scale. */
	startedAt: z.number(),
	endedAt: z.number(),
});

/** Record of one request. */
export type RequestRecord = z.infer<typeof requestRecordSchema>;
