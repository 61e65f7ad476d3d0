/** What hosts tell each other, in datagrams, every second or so. */
import {z} from 'zod/mini';

/** The account of one host, or of all hosts of a failure domain. */
export const usageReportSchema = z.object({
	host: z.string(),
	incarnation: z.string(),
	/** Grows with each report of a run. */
	sequence: z.number(),
	domain: z.string(),
	/** Whether the account is of the whole domain. */
	isOfDomain: z.boolean(),
	/** Whether the host has stopped to work, and this is its last report. */
	hasLeft: z.boolean(),
	/** Milliseconds for which the host has run. */
	runningMs: z.number(),
	/** Whether the host has verified the contracts lately. */
	isVerified: z.boolean(),
	/** By team: operations a second that are asked for. */
	teams: z.record(z.string(), z.number()),
	/** By database: statements at work, and open connections. */
	databases: z.record(z.string(), z.tuple([z.number(), z.number()])),
});

export type UsageReport = z.infer<typeof usageReportSchema>;
