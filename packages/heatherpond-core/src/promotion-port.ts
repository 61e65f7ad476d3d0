/** Port for the calls of a host that replaces a primary to the other hosts. */
import * as z from 'zod';
import type {CallOptions} from './platform-port.js';

/** Request for a host's assessment of a group, and for its promise to use no lease below a term. */
export const viewRequestSchema = z.object({
	host: z.string(),
	group: z.string(),
	/** Log version that the sender knows; the receiver reads the log if its view is older. */
	version: z.number().int().nonnegative(),
	/** Term below which the receiver must no longer use a lease on the group; 0 requests no promise. */
	fenceTerm: z.number().int().nonnegative(),
});

export type ViewRequest = z.infer<typeof viewRequestSchema>;

/** Why a host suspects a primary to have failed. */
export const suspicionSchema = z.enum(['dead', 'cut_off', 'unreachable', 'fenced']);

/** The reason for suspicion; see `decideSuspicion`. */
export type Suspicion = z.infer<typeof suspicionSchema>;

/** A host's assessment of a group. */
export const viewResponseSchema = z.object({
	host: z.string(),
	incarnation: z.string(),
	domain: z.string(),
	/** Version of the host's view. */
	version: z.number().int().nonnegative(),
	/** Whether the host reaches enough members to promote one. */
	canSee: z.boolean(),
	suspicion: suspicionSchema.optional(),
	/** Term below which the host has promised to use no lease on the group. */
	fencedTerm: z.number().int().nonnegative(),
	/** Commits of the group that await a proof on the host. */
	pendingProofs: z.number().int().nonnegative(),
	/** Term of the promotion that the host is running on the group; 0 for none. */
	promotingTerm: z.number().int().nonnegative(),
});

export type ViewResponse = z.infer<typeof viewResponseSchema>;

/** Calls to one host. Every call rejects with a `PortError`. */
export type PromotionPort = {
	readonly askView: (address: string, question: ViewRequest, options: CallOptions) => Promise<ViewResponse>;
};
