/**
 * State machine for the promotion of one group. It orders the steps and chooses the candidate; the steps themselves are
 * injected. Every step is idempotent. A failed step abandons the promotion, and the host that takes over starts again
 * with a higher term.
 *
 * A failover raises the term first, so that the old primary is fenced while leases expire. A switchover waits for the
 * leases first and drains the old primary, so that every commit that the databases acknowledge is still proved in the
 * old term.
 */
import {assign, fromPromise, setup} from 'xstate';
import type {TermStart} from './position.js';
import type {Instant} from './clock.js';
import {decideCandidate} from './promotion-decisions.js';
import type {DatabaseStatus} from './upstream-port.js';

/**
 * Reason for replacing a primary: `failover` on suspicion, `takeover` of an unfinished promotion, `switchover` by an
 * operator.
 */
export type PromotionReason = 'failover' | 'takeover' | 'switchover';

/**
 * Terms of a group according to the log: the term of its primary, the term of the promotion in progress (0 for none),
 * and the starts of all terms.
 */
export type PromotionBasis = {readonly term: number; readonly openTerm: number; readonly termStarts: readonly TermStart[]};

/** Parameters of a promotion. */
export type PromotionOrder = {
	readonly group: string;
	/** Number of members of the group. */
	readonly members: number;
	readonly reason: PromotionReason;
	/** State of the log when the promotion was decided; the promotion does not start if the log has changed since. */
	readonly basis: PromotionBasis;
	/** Primary named in the log when the promotion starts. */
	readonly primary?: string;
	/** Whether that primary is chosen only if there is no majority without it. */
	readonly isPrimarySuspected: boolean;
	/** Database that an operator requested. */
	readonly wanted?: string;
};

/** The log entry that starts a promotion. */
export type Announcement = {
	readonly term: number;
	readonly version: number;
	/** When this host learned that the entry was in the log. */
	readonly knownAt: Instant;
};

/** Progress of a promotion. */
export type PromotionContext = {
	readonly order: PromotionOrder;
	readonly announcement?: Announcement;
	/** Statuses reported by the members that granted the term. */
	readonly granted: readonly DatabaseStatus[];
	readonly candidate?: string;
	/** Status of the new primary right after its promotion. */
	readonly promoted?: DatabaseStatus;
	/** Why the promotion was abandoned. */
	readonly failure?: unknown;
};

/** Context after the log entry was appended. */
export type AnnouncedContext = PromotionContext & {readonly announcement: Announcement};

/** Context after the candidate was chosen. */
export type ElectedContext = AnnouncedContext & {readonly candidate: string};

/** Context after the candidate was promoted. */
export type PromotedContext = ElectedContext & {readonly promoted: DatabaseStatus};

/** Side effects of a promotion; each is idempotent and stops when its signal aborts. */
export type PromotionSteps = {
	/** Appends the entry that starts the promotion. */
	readonly announce: (context: PromotionContext, signal: AbortSignal) => Promise<Announcement>;
	/** Waits until no host can hold a lease on an earlier term. */
	readonly outwait: (context: AnnouncedContext, signal: AbortSignal) => Promise<void>;
	/** Stops writes on the old primary and waits until the requested database has replicated everything. */
	readonly drain: (context: AnnouncedContext, signal: AbortSignal) => Promise<void>;
	/** Raises the term on a majority of the members; resolves with the statuses of those that granted it. */
	readonly raise: (context: AnnouncedContext, signal: AbortSignal) => Promise<readonly DatabaseStatus[]>;
	/** Replicates to the candidate what only the old primary holds, if it is still reachable. */
	readonly catchUp: (context: ElectedContext, signal: AbortSignal) => Promise<void>;
	readonly promote: (context: ElectedContext, signal: AbortSignal) => Promise<DatabaseStatus>;
	/** Appends the entry that ends the promotion. */
	readonly record: (context: PromotedContext, signal: AbortSignal) => Promise<void>;
	/** Makes the other members follow the new primary. */
	readonly redirect: (context: PromotedContext, signal: AbortSignal) => Promise<void>;
};

type StepName = keyof PromotionSteps;

type StepInput = {readonly name: StepName; readonly context: PromotionContext};

type StepResult = Pick<PromotionContext, 'announcement' | 'granted' | 'promoted'>;

/** Creates the state machine over the given steps. Its final states are `done` and `abandoned`. */
export function createPromotionMachine(steps: PromotionSteps) {
	return setup({
		types: {},
		actors: {
			step: fromPromise<StepResult, StepInput>(async ({input, signal}) => runStep(steps, input, signal)),
		},
		guards: {
			isSwitchover: ({context}: {readonly context: PromotionContext}) => context.order.reason === 'switchover',
			isUndecided: ({context}: {readonly context: PromotionContext}) => context.candidate === undefined,
		},
	}).createMachine({
		id: 'promotion',
		context: ({input}) => ({order: input as PromotionOrder, granted: []}),
		output: ({context}) => context,
		initial: 'announcing',
		states: {
			announcing: {
				invoke: {
					src: 'step',
					input: ({context}) => ({name: 'announce', context}),
					onDone: {target: 'announced', actions: assign(({event}) => event.output)},
					onError: {target: 'abandoned', actions: assign({failure: ({event}) => event.error})},
				},
			},
			announced: {always: [{guard: 'isSwitchover', target: 'outwaiting'}, {target: 'raising'}]},
			raising: {
				invoke: {
					src: 'step',
					input: ({context}) => ({name: 'raise', context}),
					onDone: {target: 'electing', actions: assign(({event}) => event.output)},
					onError: {target: 'abandoned', actions: assign({failure: ({event}) => event.error})},
				},
			},
			electing: {
				entry: assign({candidate: ({context}) => findCandidate(context)}),
				always: [{guard: 'isUndecided', target: 'abandoned'}, {target: 'catchingUp'}],
			},
			catchingUp: {
				invoke: {
					src: 'step',
					input: ({context}) => ({name: 'catchUp', context}),
					onDone: [{guard: 'isSwitchover', target: 'promoting'}, {target: 'outwaiting'}],
					onError: {target: 'abandoned', actions: assign({failure: ({event}) => event.error})},
				},
			},
			outwaiting: {
				invoke: {
					src: 'step',
					input: ({context}) => ({name: 'outwait', context}),
					onDone: [{guard: 'isSwitchover', target: 'draining'}, {target: 'promoting'}],
					onError: {target: 'abandoned', actions: assign({failure: ({event}) => event.error})},
				},
			},
			draining: {
				invoke: {
					src: 'step',
					input: ({context}) => ({name: 'drain', context}),
					onDone: 'raising',
					onError: {target: 'abandoned', actions: assign({failure: ({event}) => event.error})},
				},
			},
			promoting: {
				invoke: {
					src: 'step',
					input: ({context}) => ({name: 'promote', context}),
					onDone: {target: 'recording', actions: assign(({event}) => event.output)},
					onError: {target: 'abandoned', actions: assign({failure: ({event}) => event.error})},
				},
			},
			recording: {
				invoke: {
					src: 'step',
					input: ({context}) => ({name: 'record', context}),
					onDone: 'redirecting',
					onError: {target: 'abandoned', actions: assign({failure: ({event}) => event.error})},
				},
			},
			// Members that cannot be redirected now are redirected later, by any host that reaches them.
			redirecting: {
				invoke: {
					src: 'step',
					input: ({context}) => ({name: 'redirect', context}),
					onDone: 'done',
					onError: 'done',
				},
			},
			done: {type: 'final'},
			abandoned: {type: 'final'},
		},
	});
}

async function runStep(steps: PromotionSteps, {name, context}: StepInput, signal: AbortSignal): Promise<StepResult> {
	switch (name) {
		case 'announce': {
			return {...context, announcement: await steps.announce(context, signal)};
		}

		case 'raise': {
			return {...context, granted: await steps.raise(context as AnnouncedContext, signal)};
		}

		case 'promote': {
			return {...context, promoted: await steps.promote(context as ElectedContext, signal)};
		}

		case 'outwait':
		case 'drain': {
			await steps[name](context as AnnouncedContext, signal);
			return context;
		}

		case 'catchUp': {
			await steps.catchUp(context as ElectedContext, signal);
			return context;
		}

		case 'record':
		case 'redirect': {
			await steps[name](context as PromotedContext, signal);
			return context;
		}
	}
}

function findCandidate({order, granted}: PromotionContext): string | undefined {
	return decideCandidate({
		members: order.members, granted, replaced: order.isPrimarySuspected ? order.primary : undefined, wanted: order.wanted, basis: order.basis,
	});
}
