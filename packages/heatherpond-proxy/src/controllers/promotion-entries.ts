/** Appends the log entries that start and end a promotion. */
import {
	decideNextTerm, isSameBasis, PortError, waitUntil, type Announcement, type AppendOutcome, type Change, type PromotedContext, type PromotionContext,
} from 'heatherpond-core';
import {runHedged} from './hedged-call.js';
import {PromotionError} from './promotion-error.js';
import {
	collectStatuses, findGroup, formatPromoter, type PromotionOptions,
} from './promotion-options.js';

const RETRY_DELAY_MS = 30;
const APPEND_TIMEOUT_MS = 5000;
const HEDGE_DELAY_MS = 300;
const MAX_ATTEMPTS = 10;

/**
 * Appends the entry that starts a promotion. If the host's view is outdated, the append is refused and tried again on the
 * newer view, unless an entry in between has changed the group.
 *
 * @throws PromotionError if the group has changed or the platform does not respond in time
 */
export async function appendStart(options: PromotionOptions, {order}: PromotionContext, signal: AbortSignal): Promise<Announcement> {
	const {clock, identity} = options;
	const promoter = formatPromoter(identity.host, identity.incarnation);
	while (!signal.aborted) {
		const group = findGroup(options, order.group);
		if (!group || !isSameBasis(group, order.basis)) {
			throw new PromotionError('the group has changed since the promotion was decided', {props: {reason: 'superseded'}});
		}

		const term = decideNextTerm(group, collectStatuses(options, group));
		const outcome = await appendHedged(options, `promote-${options.createId()}`, {
			kind: 'promotionStarted', group: order.group, term, promoter,
		});
		if (outcome?.kind === 'accepted') {
			const knownAt = clock.readNow();
			void options.readLog();
			return {term, version: outcome.version, knownAt};
		}

		if (!outcome || !await options.readLog()) {
			break;
		}
	}

	throw new PromotionError('the platform accepted no promotion entry in time', {props: {reason: 'no_platform'}});
}

/**
 * Appends the entry that ends a promotion, and retries until the platform responds.
 *
 * @throws PromotionError if another promotion of the group has started or the signal aborts
 */
export async function appendEnd(options: PromotionOptions, context: PromotedContext, signal: AbortSignal): Promise<void> {
	const {order, announcement, candidate, promoted} = context;
	const {clock} = options;
	const operationId = `promoted-${options.createId()}`;
	const change: Change = {
		kind: 'promotionEnded', group: order.group, term: announcement.term, primary: candidate, start: promoted.last.position,
	};
	while (!signal.aborted) {
		const hasRead = isPromotionOpen(options, context) || await options.readLog();
		if (findGroup(options, order.group)?.term === announcement.term) {
			return;
		}

		if (hasRead && !isPromotionOpen(options, context)) {
			throw new PromotionError('another promotion of the group has started', {props: {reason: 'superseded'}});
		}

		const outcome = isPromotionOpen(options, context) ? await appendHedged(options, operationId, change) : undefined;
		await options.readLog();
		if (outcome?.kind === 'accepted') {
			return;
		}

		await waitUntil(clock, clock.readNow() + RETRY_DELAY_MS, signal);
	}

	throw new PromotionError('the host is shutting down', {props: {reason: 'aborted'}});
}

/** Decides whether the promotion has started and not ended according to the host's view. */
function isPromotionOpen(options: PromotionOptions, {order, announcement}: PromotedContext): boolean {
	return findGroup(options, order.group)?.promotion?.term === announcement.term;
}

/**
 * Appends an entry directly after the version of the host's view. Resolves with `undefined` if the platform did not
 * respond. Repeated attempts carry the same operation id, so the entry is appended at most once.
 */
async function appendHedged({platform, blackboard, clock, identity, signal}: PromotionOptions, operationId: string, change: Change): Promise<AppendOutcome | undefined> {
	const {version} = blackboard.read().view;

	async function appendOnce(): Promise<AppendOutcome | undefined> {
		try {
			return await platform.appendEntry({operationId, author: identity.host, change}, version, {deadline: clock.readNow() + APPEND_TIMEOUT_MS, signal});
		} catch (error) {
			if (error instanceof PortError) {
				return undefined;
			}

			throw error;
		}
	}

	return runHedged(appendOnce, {
		clock, hedgeDelayMs: HEDGE_DELAY_MS, maxAttempts: MAX_ATTEMPTS, signal,
	});
}
