/** Configuration of a load on a deployment. */
import * as z from 'zod';

/** Load of one team. */
export const teamLoadSchema = z.object({
	team: z.string(),
	key: z.string(),
	/** Routes, assigned to the sessions of the team round-robin. */
	routes: z.array(z.string()).min(1),
	/** Requests per second over all sessions of the team. */
	requestsPerSecond: z.number().positive(),
	sessions: z.number().int().positive(),
});

/** Load of one team. */
export type TeamLoad = z.infer<typeof teamLoadSchema>;

/** Complete load configuration, passed to the load thread. */
export const loadPlanSchema = z.object({
	/** Loopback ports on which hosts accept clients. */
	ports: z.array(z.number().int()).min(1),
	teams: z.array(teamLoadSchema),
	table: z.string(),
	/** Share of requests that are writes. */
	writeShare: z.number().min(0).max(1),
	/** Share of sessions whose reads accept stale data. */
	staleReadShare: z.number().min(0).max(1),
	/** Maximum staleness that those sessions accept. */
	maxStalenessMs: z.number().nonnegative(),
	/** Number of requests after which a session reconnects to the next host. */
	roamEvery: z.number().int().positive(),
	durationMs: z.number().positive(),
	seed: z.number().int(),
});

/** Complete load configuration. */
export type LoadPlan = z.infer<typeof loadPlanSchema>;
