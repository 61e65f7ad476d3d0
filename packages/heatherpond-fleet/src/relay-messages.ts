/** Messages of the relay protocol, by which a host sends statements through the connections of another host. */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import type {StepResult, ConnectionStep} from 'heatherpond-session';
import * as z from 'zod/mini';

const pointSchema = z.object({
	term: z.number(),
	position: z.codec(z.string().check(z.regex(/^\d+$/v)), z.bigint(), {decode: BigInt, encode: String}),
});
const accessSchema = z.enum(['read', 'write']);
const variablesSchema = z.codec(z.array(z.tuple([z.string(), z.string()])), z.map(z.string(), z.string()), {
	decode: entries => new Map(entries),
	encode: variables => [...variables],
});

const commandSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('forward'), id: z.string(), text: z.string(), after: z.optional(pointSchema),
	}),
	z.object({
		kind: z.literal('execute'), id: z.string(), arguments: z.string(), after: z.optional(pointSchema),
	}),
]);

const stepSchema = z.object({
	needs: z.optional(z.object({
		variables: variablesSchema,
		statement: z.optional(z.object({access: accessSchema, shape: z.string()})),
	})),
	begin: z.optional(z.object({isReadOnly: z.boolean(), after: z.optional(pointSchema)})),
	command: z.optional(commandSchema),
	isSentOnce: z.boolean(),
	isLast: z.boolean(),
	primary: z.optional(z.object({group: z.string(), database: z.string(), term: z.number()})),
	/** Time left until the deadline when the step was sent, in milliseconds. */
	remainingMs: z.number(),
	/**
	 * The deadline by the clock of the relay, so that a step that has waited on its way counts that time; absent while the relay
	 * has not told its clock. `toldAt` is what the relay told of its clock for that, and `deadline` is never later than the real one.
	 */
	relayDeadline: z.optional(z.object({toldAt: z.number(), deadline: z.number()})),
});

/** Clock of the relay when it sent the message, in milliseconds. */
const relayClockSchema = z.number();

const answerSchema = z.object({
	body: z.string(),
	outcome: z.discriminatedUnion('kind', [
		z.object({kind: z.literal('complete')}),
		z.object({kind: z.literal('error'), code: z.enum(['busy', 'lagging', 'read_only', 'unknown_statement', 'failed', 'timeout', 'malformed', 'other'])}),
	]),
	state: z.enum(['idle', 'open', 'failed']),
	point: z.optional(pointSchema),
});

const endSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('answered'), answer: answerSchema,
		/** Milliseconds that the step ran on the database, and that the relay held it in all. */
		timing: z.optional(z.object({ranMs: z.number(), heldMs: z.optional(z.number())})),
	}),
	z.object({kind: z.literal('refused'), answer: answerSchema}),
	z.object({kind: z.literal('prepared')}),
]);

/** Reason of a failed step, with the values of UpstreamFailure in the session package. */
const failureSchema = z.enum(['closed', 'silent', 'unresponsive', 'too_many', 'wrong_database', 'unreadable', 'overloaded', 'expired', 'unsendable', 'no_memory', 'evacuated', 'relay']);

const messageSchema = z.discriminatedUnion('kind', [
	/** Acquires a connection and runs the first step on it. `loan` identifies the connection on its link until it is released. */
	z.object({
		kind: z.literal('first-step'), loan: z.number(), database: z.string(), team: z.string(), priority: z.number(), variables: variablesSchema, step: stepSchema,
		/** Time left until the operation misses its target latency, in milliseconds. */
		objectiveMs: z.optional(z.number()),
	}),
	z.object({kind: z.literal('step'), loan: z.number(), step: stepSchema}),
	/** Ends the use of a connection; the relay knows from the database whether it has to be rolled back. */
	z.object({kind: z.literal('release'), loan: z.number()}),
	z.object({
		kind: z.literal('end'), loan: z.number(), end: endSchema, sentAt: relayClockSchema,
	}),
	z.object({
		kind: z.literal('failure'), loan: z.number(), failure: failureSchema, wasSent: z.boolean(), reason: z.string(),
		/** When room is expected on an overloaded database, in milliseconds. */
		retryAfterMs: z.optional(z.number()), sentAt: relayClockSchema,
	}),
	z.object({kind: z.literal('ping')}),
	z.object({kind: z.literal('pong'), sentAt: relayClockSchema}),
]);

/** A message on a relay link. */
export type RelayMessage = z.infer<typeof messageSchema>;

/** A step in the form that is sent to a relay. */
export type EncodedStep = z.infer<typeof stepSchema>;

/** Formats a message. The codecs of the schema only decode: what this process has built needs no check, and every statement passes here. */
export function formatRelayMessage(message: RelayMessage): string {
	return JSON.stringify(message, formatJsonValue);
}

/** Encodes the values that JSON lacks, as the codecs of the schema expect them. */
function formatJsonValue(_key: string, value: unknown): unknown {
	if (typeof value === 'bigint') {
		return String(value);
	}

	return value instanceof Map ? [...value as Map<string, unknown>] : value;
}

/** Parses a message; returns nothing when the text is malformed. */
export function parseRelayMessage(text: string): RelayMessage | undefined {
	try {
		const parsed = z.safeDecode(messageSchema, JSON.parse(text) as z.input<typeof messageSchema>);
		return parsed.success ? parsed.data : undefined;
	} catch {
		// The text is not JSON; the link is closed as for any malformed message.
		return undefined;
	}
}

/** Encodes a step for a relay. */
export function encodeStep({needs, begin, command, isSentOnce, isLast, primary, deadline}: ConnectionStep, clock: Clock): EncodedStep {
	return {
		needs: needs && {variables: new Map(needs.variables), statement: needs.statement}, begin, command, isSentOnce, isLast, primary, remainingMs: Math.round(deadline - clock.readNow()),
	};
}

/**
 * Decodes a step received from another host; its deadline is computed by the clock of this host. A step whose deadline refers to
 * what this clock said before a suspension counts as expired.
 *
 * @param clockValidFrom - instant from which the clock of this host has measured all time
 */
export function decodeStep({remainingMs, relayDeadline, ...step}: EncodedStep, clock: Clock, clockValidFrom: Instant): ConnectionStep {
	const latest: Deadline = clock.readNow() + remainingMs;
	if (!relayDeadline) {
		return {...step, deadline: latest};
	}

	return {...step, deadline: relayDeadline.toldAt < clockValidFrom ? Number.NEGATIVE_INFINITY : Math.min(latest, relayDeadline.deadline)};
}

/** Encodes the result of a step. */
export function encodeStepEnd(end: StepResult): z.infer<typeof endSchema> {
	return end;
}
