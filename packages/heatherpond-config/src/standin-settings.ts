/** Settings of the stand-ins for the platform and for databases, which are used in development. */
import {nameSchema} from 'heatherpond-core';
import * as z from 'zod';
import {addressSchema} from './proxy-settings.js';

const logLevelSchema = z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info');

const millisecondsSchema = z.number().nonnegative().default(0);

/** Settings of `heatherpond-standin platform`. */
export const platformStandinSettingsSchema = z.strictObject({
	listen: addressSchema,
	logLevel: logLevelSchema,
	/** Milliseconds by which the host list lags behind the reports of hosts. */
	hostListLagMs: millisecondsSchema,
	/** Delay of every call in milliseconds. */
	delayMs: millisecondsSchema,
});

export type PlatformStandinSettings = z.infer<typeof platformStandinSettingsSchema>;

const userSchema = z.strictObject({user: z.string().min(1), password: z.string()});

const memberSchema = z.strictObject({
	name: nameSchema,
	listen: addressSchema,
	domain: nameSchema,
	/** Replication lag of this database in milliseconds. */
	replicationLagMs: millisecondsSchema,
});

const latencySchema = z.strictObject({
	/** Two failure domains, in either order. */
	between: z.tuple([nameSchema, nameSchema]),
	oneWayMs: z.number().nonnegative(),
});

/** Settings of `heatherpond-standin group`. */
export const groupStandinSettingsSchema = z.strictObject({
	name: nameSchema,
	logLevel: logLevelSchema,
	/** Databases of the group; the first one is the primary of term 1. */
	member: z.array(memberSchema).min(1),
	/** Number of statements that each database runs concurrently. */
	slots: z.number().int().positive().default(3),
	/** Number of connections that each database accepts, not counting control connections. */
	connections: z.number().int().positive().default(20),
	/** Time to establish a connection in milliseconds. */
	connectDelayMs: millisecondsSchema,
	/** Execution time of a statement in milliseconds. */
	serviceTimeMs: millisecondsSchema,
	/** Credentials for the statements of clients. */
	database: userSchema,
	/** Credentials for status queries, fencing and promotion. */
	control: userSchema,
	/** Network latency between failure domains; zero for pairs that are not listed. */
	latency: z.array(latencySchema).default([]),
});

export type GroupStandinSettings = z.infer<typeof groupStandinSettingsSchema>;
