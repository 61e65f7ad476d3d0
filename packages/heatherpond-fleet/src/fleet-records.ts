/** Schemas and keys of the rows through which hosts coordinate in the store. */
import * as z from 'zod/mini';

/** Table of primaries, the promotion lease, confirmations, suspicions and evacuations; every host follows its changes. */
export const FLEET_TABLE = 'heatherpond-fleet';
/** Table of the registered hosts; it is read as a whole at long intervals. */
export const HOSTS_TABLE = 'heatherpond-hosts';

/** Key of the promotion lease. */
export const PROMOTION_LEASE_KEY = 'duty';
/** Prefix of the primacy record of a group; the group name follows, as `formatRowKey` forms it. */
export const PRIMACY_PREFIX = 'primacy/';
/** Prefix of confirmations; group and host follow, as `formatGroupHostKey` forms them. */
export const CONFIRMATION_PREFIX = 'confirmed/';
/** Prefix of suspicions; group and host follow, as `formatGroupHostKey` forms them. */
export const SUSPICION_PREFIX = 'suspected/';

/** Prefix of the record of an evacuated failure domain; its name follows. */
export const EVACUATION_PREFIX = 'evacuation/';

const promotionSchema = z.object({
	/** Unique id of the promotion, which confirmations refer to. */
	id: z.string(),
	/** Whether the old primary is expected to respond. */
	isPlanned: z.boolean(),
	reason: z.string(),
	/** Host that carries out the promotion, to which the others confirm it. */
	holder: z.optional(z.object({host: z.string(), incarnation: z.string()})),
	/** Database to promote; written before the promotion request is sent, and kept as long as that database is running. */
	candidate: z.optional(z.string()),
});

/** Primary of a group of databases. */
export const primacySchema = z.object({
	group: z.string(),
	term: z.number(),
	/** Era of the store in which the record was written or affirmed; 0 if absent. In a later era no host relies on it. */
	era: z.optional(z.number()),
	/** Absent as long as no primary of the group has been observed. */
	primary: z.optional(z.string()),
	/** In a group with synchronous replicas: the databases besides the primary that may hold an acknowledged commit. */
	holders: z.optional(z.array(z.string())),
	/** Promotion in progress; while it is set, no host sends new statements to the old primary. */
	promotion: z.optional(promotionSchema),
});

export type PrimacyRecord = z.infer<typeof primacySchema>;

/** Lease of the host that may request promotions. */
export const promotionLeaseSchema = z.object({
	holder: z.string(),
	/** Incarnation of the holder. */
	incarnation: z.string(),
	/** Fencing token; increases with each change of holder. */
	fence: z.number(),
	/** Expiry in milliseconds of the store's clock, after which another host may acquire the lease. */
	until: z.number(),
});

export type PromotionLeaseRecord = z.infer<typeof promotionLeaseSchema>;

/** Confirmation of a host that it no longer relies on the primary that a promotion replaces. */
export const confirmationSchema = z.object({
	host: z.string(),
	group: z.string(),
	promotionId: z.string(),
});

export type ConfirmationRecord = z.infer<typeof confirmationSchema>;

/** Report of a host that a primary does not respond to it. */
export const suspicionSchema = z.object({
	host: z.string(),
	incarnation: z.string(),
	group: z.string(),
	database: z.string(),
	term: z.number(),
});

export type SuspicionRecord = z.infer<typeof suspicionSchema>;

/** Record that a failure domain has been evacuated; hosts that start later learn from it that its databases may be cold. */
export const evacuationRecordSchema = z.object({
	domain: z.string(),
	/** When the evacuation ended, in milliseconds of the store's clock; absent until it has been recorded. */
	endedAt: z.optional(z.number()),
});

export type EvacuationRecord = z.infer<typeof evacuationRecordSchema>;

/** Port number. A socket throws for any other, so an address is checked where it is read. */
export const portSchema = z.int().check(z.minimum(1), z.maximum(65_535));

/** Registration of a host, which entitles it to rely on leases of primaries. */
export const hostSchema = z.object({
	host: z.string(),
	incarnation: z.string(),
	/** Address at which the host receives datagrams of other hosts. */
	address: z.string(),
	port: portSchema,
	domain: z.string(),
	/** Time of the last refresh in milliseconds of the store's clock, as estimated by the writer of the row. */
	refreshedAt: z.number(),
});

export type HostRecord = z.infer<typeof hostSchema>;

/** Parses the JSON text of a record; returns nothing when it does not match the schema. */
export function parseRecord<Schema extends z.core.$ZodType>(schema: Schema, text: string): z.infer<Schema> | undefined {
	try {
		const parsed = z.safeParse(schema, JSON.parse(text));
		return parsed.success ? parsed.data : undefined;
	} catch {
		// The text is not JSON; the caller decides whether to log the skipped row.
		return undefined;
	}
}
