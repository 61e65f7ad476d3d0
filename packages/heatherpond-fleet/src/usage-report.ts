/** Schema of the usage reports that hosts send to each other in datagrams, about once a second. */
import * as z from 'zod/mini';

/** Usage of one host, or the sum over all hosts of a failure domain. */
export const usageReportSchema = z.object({
	host: z.string(),
	incarnation: z.string(),
	/** Increases with each report of the same incarnation. */
	sequence: z.number(),
	domain: z.string(),
	/** Whether the report is the sum over the whole domain. */
	isOfDomain: z.boolean(),
	/** Whether the host has shut down, and this is its last report. */
	hasLeft: z.boolean(),
	/** Uptime of the host in milliseconds. */
	runningMs: z.number(),
	/** Whether the host has verified the contracts recently and is registered. */
	isVerified: z.boolean(),
	/** Requested operations per second, by team. */
	teams: z.record(z.string(), z.number()),
	/** Statements in flight and open connections, by database. */
	databases: z.record(z.string(), z.tuple([z.number(), z.number()])),
});

/** A usage report. */
export type UsageReport = z.infer<typeof usageReportSchema>;
