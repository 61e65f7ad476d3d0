/** Steps and answers pass a relay as they were, whatever their texts hold. */
import {Buffer} from 'node:buffer';
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {createFakeClock, type FakeClock} from 'heatherpond-core';
import {
	createMessageMemory, type ConnectionRequest, type ConnectionStep, type StepResult, type UpstreamResponse,
} from 'heatherpond-session';
import {createRelayClient, startRelayServer, type HostRecord} from '../../index.js';
import {createMemoryLinks} from '../../memory-links.js';
import {
	encodeStep, decodeStep, formatRelayMessage, parseRelayMessage,
} from '../../relay-messages.js';
import {advance} from '../support/steps.js';

const SEED = 20_261_206;
const MESSAGE_RUNS = 1500;
const RELAY_RUNS = 150;
const START = 1000;
const DEADLINE = START + 100_000;
const MEMORY_BYTES = 1_000_000;
const RELAY: HostRecord = {
	host: 'relay', incarnation: 'run-1', domain: 'd', address: 'relay', port: 1, refreshedAt: 0,
};

/** Texts that JSON, JavaScript or a line might treat as something else. */
const FRAGMENTS = ['"', '\\', String.raw`\"`, String.raw`\u0000`, '\r\n', '\n', '\u2028', '\uD800', '\uDC00', '\uDC00\uD800', ' ', '  ', '"}', '__proto__', 'constructor', '{"kind":"ping"}', '-0', 'null'];

const text = fc.array(fc.oneof(
	fc.string({unit: 'binary', maxLength: 3}),
	fc.integer({min: 0, max: 255}).map(code => String.fromCodePoint(code)),
	fc.constantFrom(...FRAGMENTS),
), {maxLength: 6}).map(parts => parts.join(''));
const point = fc.option(fc.record({term: fc.nat(), position: fc.bigInt({min: 0n, max: 2n ** 80n})}), {nil: undefined});
const variables = fc.array(fc.tuple(text, text), {maxLength: 4}).map(entries => new Map(entries));
const statement = fc.option(fc.record({access: fc.constantFrom('read' as const, 'write' as const), shape: text}), {nil: undefined});
const command = fc.oneof(
	fc.record({
		kind: fc.constant('forward' as const), id: text, text, after: point,
	}),
	fc.record({
		kind: fc.constant('execute' as const), id: text, arguments: text, after: point,
	}),
);
const step: fc.Arbitrary<ConnectionStep> = fc.record({
	needs: fc.option(fc.record({variables, statement}), {nil: undefined}),
	begin: fc.option(fc.record({isReadOnly: fc.boolean(), after: point}), {nil: undefined}),
	command,
	isSentOnce: fc.boolean(),
	isLast: fc.boolean(),
	primary: fc.option(fc.record({group: text, database: text, term: fc.nat()}), {nil: undefined}),
	deadline: fc.constant(DEADLINE),
});
const answer: fc.Arbitrary<UpstreamResponse> = fc.record({
	body: text,
	outcome: fc.oneof(fc.constant({kind: 'complete' as const}), fc.record({kind: fc.constant('error' as const), code: fc.constantFrom('busy' as const, 'failed' as const, 'unknown_statement' as const)})),
	state: fc.constantFrom('idle' as const, 'open' as const, 'failed' as const),
	point,
});

type Arrived = {readonly requests: ConnectionRequest[]; readonly steps: ConnectionStep[]};

type Sent = {readonly request: Pick<ConnectionRequest, 'team' | 'variables'>; readonly steps: readonly ConnectionStep[]; readonly answers: readonly UpstreamResponse[]};

/** Sends steps through a relay whose connection gives the answers in turn. */
async function sendThroughRelay(clock: FakeClock, {request, steps, answers}: Sent): Promise<Arrived & {readonly results: readonly StepResult[]}> {
	const links = createMemoryLinks(clock);
	const arrived: Arrived = {requests: [], steps: []};
	startRelayServer({
		clock, links: links.createPort('relay'), memory: createMessageMemory(MEMORY_BYTES), random: () => 0.5, recordFailure: () => undefined,
		isReplaced: () => false, isStopping: () => false, readClockValidFrom: () => 0, writeEvent: () => undefined,
		async acquire(database, relayed) {
			arrived.requests.push(relayed);
			return {
				database, team: relayed.team, release: () => undefined,
				async run(relayedStep) {
					arrived.steps.push(relayedStep);
					return {kind: 'answered', answer: answers[arrived.steps.length - 1]!};
				},
			};
		},
	});
	const client = createRelayClient({clock, links: links.createPort('asker'), writeEvent: () => undefined});
	const handle = client.createHandle(RELAY, 'db', {
		...request, priority: 1, deadline: DEADLINE, signal: new AbortController().signal,
	});
	const results: StepResult[] = [];
	for (const next of steps) {
		const running = handle.run(next);
		await advance(clock, 20);
		results.push(await running);
	}

	handle.release();
	client.destroy();
	return {...arrived, results};
}

describe('a step that is sent to a relay', () => {
	// Guards against texts that another host reads as other texts.
	test('is the same after it has been formatted, sent as bytes and parsed', () => {
		fc.assert(fc.property(step, text, text, variables, (sent, database, team, requested) => {
			const clock = createFakeClock(START);
			const message = {
				kind: 'first-step' as const, loan: 1, database, team, priority: 1, variables: requested, step: encodeStep(sent, clock),
			};
			const line = formatRelayMessage(message);
			expect(line).not.toMatch(/[\r\n]/v);
			const parsed = parseRelayMessage(Buffer.from(line, 'utf8').toString('utf8'));
			expect(parsed).toEqual(message);
			expect(parsed?.kind === 'first-step' && decodeStep(parsed.step, clock, 0)).toEqual(sent);
		}), {seed: SEED, numRuns: MESSAGE_RUNS});
	});

	// Guards against a transaction whose later steps or answers differ from what was sent.
	test('arrives as it was, as the first one and as a later one, and so do the answers', async () => {
		await fc.assert(fc.asyncProperty(fc.tuple(step, step), fc.tuple(answer, answer), text, variables, async ([first, second], [firstAnswer, secondAnswer], team, requested) => {
			const steps = [{...first, isLast: false}, second];
			const {requests, steps: arrived, results} = await sendThroughRelay(createFakeClock(START), {request: {team, variables: requested}, steps, answers: [firstAnswer, secondAnswer]});
			expect(requests).toMatchObject([{team, variables: requested}]);
			expect(arrived.map(({deadline: _, ...rest}) => rest)).toEqual(steps.map(({deadline: _, ...rest}) => rest));
			expect(results).toEqual([firstAnswer, secondAnswer].map(expected => ({kind: 'answered', answer: expected})));
		}), {seed: SEED, numRuns: RELAY_RUNS});
	});
});
