/** Schema of the usage reports that hosts send to each other in datagrams, about once a second. */
import * as z from 'zod/mini';
import {portSchema} from './fleet-records.js';

// The schema library checks each entry of a record on its own, which takes most of the time in which a host handles a report.
const teamDemandsSchema = z.custom<Record<string, number>>(value => isRecord(value) && Object.values(value).every(Number.isFinite));
const databaseUsagesSchema = z.custom<Record<string, [number, number]>>(value => isRecord(value) && Object.values(value).every(isPair));

const positionsSchema = z.custom<Record<string, [number, string, number]>>(value => isRecord(value) && Object.values(value).every(isPosition));
const echoesSchema = z.custom<Record<string, [string, number, number]>>(value => isRecord(value) && Object.values(value).every(isEcho));

function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isPair(value: unknown): boolean {
	return Array.isArray(value) && value.length === 2 && value.every(Number.isFinite);
}

function isPosition(value: unknown): boolean {
	return Array.isArray(value) && value.length === 3 && Number.isSafeInteger(value[0]) && typeof value[1] === 'string' && /^\d+$/v.test(value[1]) && Number.isFinite(value[2]) && value[2] >= 0;
}

function isEcho(value: unknown): boolean {
	return Array.isArray(value) && value.length === 3 && typeof value[0] === 'string' && Number.isFinite(value[1]) && Number.isFinite(value[2]) && value[2] >= 0;
}

/** Usage of one host, or the sum over all hosts of a failure domain. */
export const usageReportSchema = z.object({
	host: z.string(),
	incarnation: z.string(),
	/** Increases with each report of the same incarnation. */
	sequence: z.number(),
	domain: z.string(),
	/** Address at which the sender receives datagrams. */
	address: z.string(),
	port: portSchema,
	/** Whether the report is the sum over the whole domain. */
	isOfDomain: z.boolean(),
	/** Whether the host has shut down, and this is its last report. */
	hasLeft: z.boolean(),
	/** Uptime of the host in milliseconds. */
	runningMs: z.number(),
	/** Whether the host has verified the contracts recently and is registered. */
	isVerified: z.boolean(),
	/** Requested operations per second, by team. */
	teams: teamDemandsSchema,
	/** Statements in flight and open connections, by database. */
	databases: databaseUsagesSchema,
	/** Newest log positions of primaries: term, position and age in milliseconds, by group. */
	positions: z.optional(positionsSchema),
	/** Last report received from each host: its incarnation and sequence number, and the milliseconds since then. */
	echoes: z.optional(echoesSchema),
	/** Id of the last list of members that the sender has received from its leader. */
	memberList: z.optional(z.string()),
});

/** A live host of a failure domain, as its leader knows it. */
export const domainMemberSchema = z.object({
	host: z.string(),
	incarnation: z.string(),
	address: z.string(),
	port: portSchema,
	/** Uptime of the host in milliseconds. */
	runningMs: z.number(),
});

/** A live host of a failure domain. */
export type DomainMember = z.infer<typeof domainMemberSchema>;

/** Usage of all hosts of a failure domain together. */
export const domainUsageSchema = z.pick(usageReportSchema, {isVerified: true, teams: true, databases: true});

/** Usage of a failure domain. */
export type DomainUsage = z.infer<typeof domainUsageSchema>;

/** A host that reports for another failure domain, as the sender of a digest knows it. */
export const remoteLeaderSchema = z.object({
	...z.pick(usageReportSchema, {
		host: true, incarnation: true, domain: true, address: true, port: true, isVerified: true,
	}).shape,
	/** Milliseconds since its last report. */
	ageMs: z.number(),
});

/** A host that reports for another failure domain. */
export type RemoteLeader = z.infer<typeof remoteLeaderSchema>;

/** What a domain leader knows of the other failure domains together; it stands for their single reports. */
export const remoteOverviewSchema = z.object({usage: domainUsageSchema, leaders: z.array(remoteLeaderSchema)});

/** Overview of the other failure domains. */
export type RemoteOverview = z.infer<typeof remoteOverviewSchema>;

/** Message of a domain leader to the hosts of its failure domain: its own report, the usage of the domain and its live hosts. */
export const domainDigestSchema = z.object({
	own: usageReportSchema,
	usage: domainUsageSchema,
	/** Id of the list of live hosts; another list has another id. */
	memberList: z.string(),
	/** The live hosts; absent when the receiver has reported that it has the list. */
	members: z.optional(z.array(domainMemberSchema)),
	/** The other failure domains; absent for hosts to which their reports are relayed. */
	remote: z.optional(remoteOverviewSchema),
});

/** Digest of a failure domain. */
export type DomainDigest = z.infer<typeof domainDigestSchema>;

/** A usage report. */
export type UsageReport = z.infer<typeof usageReportSchema>;
