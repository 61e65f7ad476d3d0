/** What hosts say to each other when one sends statements through connections that the other holds. */
import type {Clock} from 'heatherpond-core';
import type {StepEnd, WorkStep} from 'heatherpond-session';
import {z} from 'zod/mini';

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
		kind: z.literal('execute'), id: z.string(), name: z.string(), arguments: z.string(), after: z.optional(pointSchema),
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
	/** Milliseconds that are left. */
	remainingMs: z.number(),
});

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
	z.object({kind: z.literal('answered'), answer: answerSchema}),
	z.object({kind: z.literal('refused'), answer: answerSchema}),
	z.object({kind: z.literal('prepared')}),
]);

/** Why a step failed; as in the session layer. */
const failureSchema = z.enum(['closed', 'silent', 'too_many', 'wrong_database', 'unreadable', 'relay']);

const messageSchema = z.discriminatedUnion('kind', [
	/** Asks for a connection and runs the first step on it. A loan has a number of its own on its link. */
	z.object({
		kind: z.literal('first-step'), loan: z.number(), database: z.string(), team: z.string(), priority: z.number(), variables: variablesSchema, step: stepSchema,
	}),
	z.object({kind: z.literal('step'), loan: z.number(), step: stepSchema}),
	z.object({kind: z.literal('release'), loan: z.number(), isClean: z.boolean()}),
	z.object({kind: z.literal('roll-back'), loan: z.number(), remainingMs: z.number()}),
	z.object({kind: z.literal('end'), loan: z.number(), end: endSchema}),
	z.object({
		kind: z.literal('failure'), loan: z.number(), failure: failureSchema, wasSent: z.boolean(), reason: z.string(),
	}),
	z.object({kind: z.literal('ping')}),
	z.object({kind: z.literal('pong')}),
]);

/** A message on a link. */
export type RelayMessage = z.infer<typeof messageSchema>;

/** A step as it travels. */
export type EncodedStep = z.infer<typeof stepSchema>;

/** Formats a message. */
export function formatRelayMessage(message: RelayMessage): string {
	return JSON.stringify(z.encode(messageSchema, message));
}

/** Parses a message; nothing when it is none. */
export function parseRelayMessage(text: string): RelayMessage | undefined {
	try {
		const parsed = z.safeDecode(messageSchema, JSON.parse(text) as z.input<typeof messageSchema>);
		return parsed.success ? parsed.data : undefined;
	} catch {
		// What is not JSON is no message; the caller closes the link.
		return undefined;
	}
}

/** Converts a step for the way to another host. Commands of a session are the only ones that travel. */
export function encodeStep({needs, begin, command, isSentOnce, isLast, primary, deadline}: WorkStep, clock: Clock): EncodedStep {
	if (command && command.kind !== 'forward' && command.kind !== 'execute') {
		throw new TypeError(`a step for another host cannot hold the command ${command.kind}`);
	}

	return {
		needs: needs && {variables: new Map(needs.variables), statement: needs.statement}, begin, command, isSentOnce, isLast, primary, remainingMs: deadline - clock.readNow(),
	};
}

/** Converts a step that has come from another host. */
export function decodeStep({remainingMs, ...step}: EncodedStep, clock: Clock): WorkStep {
	return {...step, deadline: clock.readNow() + remainingMs};
}

/** Converts the end of a step for the way back. */
export function encodeStepEnd(end: StepEnd): z.infer<typeof endSchema> {
	return end;
}
