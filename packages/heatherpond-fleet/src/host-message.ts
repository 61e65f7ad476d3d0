/** Schemas of the messages that hosts send to each other in datagrams. */
import * as z from 'zod/mini';
import {
	confirmationSchema, hostSchema, portSchema, primacySchema, suspicionSchema,
} from './fleet-records.js';
import {domainDigestSchema, usageReportSchema} from './usage-report.js';

/** Changes of a table, as one host sends them to another. */
const pageSchema = z.object({
	rows: z.array(z.object({key: z.string(), version: z.number(), value: z.optional(z.string())})),
	version: z.number(),
	storeNow: z.number(),
	ageMs: z.optional(z.number()),
});

/** A host to which messages can be sent. */
const contactSchema = z.omit(hostSchema, {refreshedAt: true});

/** A host to which messages can be sent. */
export type HostContact = z.infer<typeof contactSchema>;

/** An incarnation of a host whose registration has been refreshed, based on the usage report with this sequence number. */
const registeredIncarnationSchema = z.object({incarnation: z.string(), sequence: z.number()});

/** An incarnation whose registration has been refreshed. */
export type RegisteredIncarnation = z.infer<typeof registeredIncarnationSchema>;

/** Message of a domain leader to its failure domain after it has refreshed registrations. */
const registrationUpdateSchema = z.object({
	runs: z.array(registeredIncarnationSchema),
	/** Era of the store in which the registrations were written; 0 if absent. */
	era: z.optional(z.number()),
	/** Some of the hosts of other failure domains, as last read from the store. */
	farHosts: z.array(hostSchema),
});

/** Notice that registrations have been refreshed. */
export type RegistrationUpdate = z.infer<typeof registrationUpdateSchema>;

/** A message of one host to another. */
export const hostMessageSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('usage'), report: usageReportSchema, isRelayed: z.boolean()}),
	z.object({kind: z.literal('introduction'), host: contactSchema}),
	z.object({kind: z.literal('introduced'), hosts: z.array(contactSchema)}),
	z.object({kind: z.literal('digest'), digest: domainDigestSchema}),
	z.object({kind: z.literal('registered'), news: registrationUpdateSchema}),
	z.object({kind: z.literal('primacy'), record: primacySchema, version: z.number()}),
	z.object({
		kind: z.literal('confirmation'), id: z.string(), record: confirmationSchema, address: z.string(), port: portSchema,
	}),
	z.object({kind: z.literal('confirmed'), id: z.string()}),
	z.object({
		kind: z.literal('question'), id: z.string(), table: z.string(), after: z.number(), address: z.string(), port: portSchema,
	}),
	z.object({
		kind: z.literal('answer'), id: z.string(), page: z.optional(pageSchema), isTooLarge: z.optional(z.boolean()),
	}),
	z.object({
		kind: z.literal('grant-question'), id: z.string(), team: z.string(), wanted: z.number(), address: z.string(), port: portSchema,
	}),
	z.object({
		kind: z.literal('transfer-question'), id: z.string(), team: z.string(), wanted: z.number(), address: z.string(), port: portSchema,
	}),
	z.object({kind: z.literal('transfer'), id: z.string(), given: z.number()}),
	z.object({
		kind: z.literal('grant'), id: z.string(), granted: z.number(), retryAfterMs: z.number(),
	}),
	z.object({kind: z.literal('suspicion'), record: suspicionSchema, isSuspected: z.boolean()}),
]);

export type HostMessage = z.infer<typeof hostMessageSchema>;

/** A message that is answered. */
export type RequestMessage = Extract<HostMessage, {readonly kind: 'question' | 'confirmation' | 'grant-question' | 'transfer-question'}>;
/** The answer to a message. */
export type ResponseMessage = Extract<HostMessage, {readonly kind: 'answer' | 'confirmed' | 'grant' | 'transfer'}>;
/** A message that is not answered. */
export type NotificationMessage = Exclude<HostMessage, RequestMessage | ResponseMessage | {readonly kind: 'introduction'}>;
