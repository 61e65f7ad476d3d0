/** Port for calls between hosts. */
import * as z from 'zod';
import type {FleetView} from './fleet-view.js';
import {logEntrySchema} from './log-entry.js';
import type {CallOptions} from './platform-port.js';

/**
 * Request for a peer's freshness stamp and for the log entries that the sender lacks. A freshness stamp is the log version
 * of a view and the time up to which the view is verified to be complete.
 */
export const stampRequestSchema = z.object({
	host: z.string(),
	incarnation: z.string(),
	domain: z.string(),
	/** Version of the sender's view. */
	version: z.number().int().nonnegative(),
	/** Age in milliseconds of the sender's stamp when the request was sent; absent when its view was never verified. */
	ageMs: z.number().nonnegative().optional(),
	/** Latest log version that the sender's quota allotments reflect. */
	ledgerVersion: z.number().int().nonnegative(),
	/** `address:port` at which the sender accepts requests of peers. */
	peerAddress: z.string(),
});

export type StampRequest = z.infer<typeof stampRequestSchema>;

/** A peer's freshness stamp and the log entries that the requester lacks. */
export const stampResponseSchema = z.object({
	host: z.string(),
	incarnation: z.string(),
	/** Version of the peer's view. */
	version: z.number().int().nonnegative(),
	/** Age in milliseconds of the peer's stamp when it responded; absent when its view was never verified. */
	ageMs: z.number().nonnegative().optional(),
	/**
	 * Entries after the requester's version, in order. Their number is limited; empty when the peer no longer has them.
	 */
	entries: z.array(logEntrySchema),
	/** Latest log version that the peer's quota allotments reflect. */
	ledgerVersion: z.number().int().nonnegative(),
});

export type StampResponse = z.infer<typeof stampResponseSchema>;

const loanIdSchema = z.string().min(1).max(100);

/** Request to borrow units of a peer's allotment (its share of a fleet-wide quota), or to renew such a loan. */
export const loanAskSchema = z.object({
	loanId: loanIdSchema,
	/** Name of the quota, for example `rate/durban`. */
	key: z.string(),
	units: z.number().int().nonnegative(),
});

export type LoanAsk = z.infer<typeof loanAskSchema>;

/** A loan that its borrower returns before the lease ends, with the tokens that the borrower has not spent. */
export const loanReturnSchema = z.object({loanId: loanIdSchema, key: z.string(), tokens: z.number().nonnegative()});

export type LoanReturn = z.infer<typeof loanReturnSchema>;

/** Units lent to a peer, with tokens that the lender hands over: at most the units' share of the quota's burst. */
export const sentLoanSchema = z.object({
	loanId: loanIdSchema,
	key: z.string(),
	units: z.number().int().nonnegative(),
	tokens: z.number().nonnegative(),
	/** Remaining lease in milliseconds when the message is sent. */
	leaseMs: z.number().nonnegative(),
});

export type SentLoan = z.infer<typeof sentLoanSchema>;

/** One host's loan requests, renewals and returns to another host, for all teams in one message. */
export const allotmentRequestSchema = z.object({
	host: z.string(),
	asks: z.array(loanAskSchema),
	renewals: z.array(loanAskSchema),
	returns: z.array(loanReturnSchema),
});

export type AllotmentRequest = z.infer<typeof allotmentRequestSchema>;

/** Loans and renewals granted by the other host. */
export const allotmentResponseSchema = z.object({
	loans: z.array(sentLoanSchema),
	/** Ids of the renewed loans. */
	renewed: z.array(z.string()),
});

export type AllotmentResponse = z.infer<typeof allotmentResponseSchema>;

/** Calls to one peer. Every call rejects with a `PortError`; a peer of another deployment refuses the call. */
export type PeerPort = {
	/** Exchanges freshness stamps; also serves as the heartbeat between hosts. */
	readonly askStamp: (address: string, request: StampRequest, options: CallOptions) => Promise<StampResponse>;
	/** Reads the peer's complete view; used by a host that is far behind. */
	readonly askView: (address: string, options: CallOptions) => Promise<FleetView>;
	/** Borrows, renews and returns units. */
	readonly moveAllotments: (address: string, request: AllotmentRequest, options: CallOptions) => Promise<AllotmentResponse>;
};

/** Server side of `PeerPort`. */
export type PeerHandlers = {
	readonly handleStampRequest: (request: StampRequest) => StampResponse;
	readonly handleViewRequest: () => FleetView;
	readonly handleAllotmentRequest: (request: AllotmentRequest) => AllotmentResponse;
};
