/** Configuration set by operators: contracts of teams, routes and database groups. */
import * as z from 'zod';

/** Name of a team, route, group, database, host or failure domain. */
export const nameSchema = z.string().regex(/^[a-z\d][\w.\-]{0,62}$/iv, 'a name has 1 to 63 letters, digits, dots, underscores or hyphens and starts with a letter or digit');

/** Where a write must be stored before it is acknowledged: on the primary, or on a majority of the members. */
export const durabilitySchema = z.enum(['primary', 'replica']);

export type Durability = z.infer<typeof durabilitySchema>;

/** Permissions and limits of one team. */
export const contractSchema = z.strictObject({
	team: nameSchema,
	/** Routes that the team may use. */
	routes: z.array(nameSchema).min(1),
	/** Statements per second, across the fleet. */
	rate: z.number().positive(),
	/** Statements that may arrive in one burst, across the fleet. */
	burst: z.number().positive(),
	/** Relative share of a congested group's capacity. */
	weight: z.number().positive().default(1),
	/** Client connections that one key may keep open on one host. */
	connectionsPerKey: z.number().int().positive().default(1000),
	/**
	 * Durability of the team's writes. With `primary`, a failover may lose acknowledged writes; the loss is reported.
	 */
	durability: durabilitySchema.default('replica'),
	/** Seconds for which a host that cannot verify its view goes on accepting the team's keys. */
	unverifiedKeySeconds: z.number().nonnegative().default(8),
});

export type Contract = z.infer<typeof contractSchema>;

/** A name that clients connect to (`database` in the startup message) and the group that serves it. */
export const routeSchema = z.strictObject({
	name: nameSchema,
	group: nameSchema,
	/** An open route needs no key. */
	open: z.boolean().default(false),
	/**
	 * Staleness in milliseconds that reads of this route accept unless the session sets another; 0 requests
	 * read-your-writes consistency.
	 */
	maxStalenessMs: z.number().nonnegative().default(0),
});

export type Route = z.infer<typeof routeSchema>;

/** One database of a group. */
export const memberSchema = z.strictObject({
	name: nameSchema,
	host: z.string().min(1),
	port: z.number().int().min(1).max(65_535),
	domain: nameSchema,
	/** Statements that the database runs concurrently. */
	slots: z.number().int().positive(),
	/** Connections that the database accepts, across the fleet. */
	connections: z.number().int().positive(),
});

export type Member = z.infer<typeof memberSchema>;

/** Configuration of a database group. */
export const groupSettingsSchema = z.strictObject({
	name: nameSchema,
	members: z.array(memberSchema).min(1),
	/** With `replica`, every write on the group needs a replica proof, whatever the team's contract says. */
	durability: z.enum(['contract', 'replica']).default('contract'),
});

export type GroupSettings = z.infer<typeof groupSettingsSchema>;
