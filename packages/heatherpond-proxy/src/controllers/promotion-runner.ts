/** Runs promotions on this host, at most one per group at a time. */
import {
	createPromotionMachine, type PromotionContext, type PromotionOrder, type PromotionSteps,
} from 'heatherpond-core';
import {createActor} from 'xstate';
import type {PromotionOptions} from './promotion-options.js';

/** Result of a promotion. */
export type PromotionOutcome
	= | {readonly kind: 'done'; readonly term: number; readonly primary: string}
		| {readonly kind: 'abandoned'; readonly reason: string};

/** Runner of promotions. */
export type PromotionRunner = {
	/** Runs one promotion to completion. Never rejects: failures are part of the outcome. */
	readonly run: (order: PromotionOrder) => Promise<PromotionOutcome>;
	/** Decides whether a promotion of a group is running on this host. */
	readonly isRunning: (group: string) => boolean;
	/** Returns the term of this host's running promotion of a group, or 0 if there is none. */
	readonly readTerm: (group: string) => number;
};

/** Creates the runner. Running promotions are abandoned when the signal aborts. */
export function createPromotionRunner(options: PromotionOptions, steps: PromotionSteps): PromotionRunner {
	const {clock, recordEvent, signal} = options;
	const running = new Map<string, PromotionContext>();

	async function runMachine(order: PromotionOrder): Promise<PromotionOutcome> {
		const startedAt = clock.readNow();
		return new Promise<PromotionOutcome>(resolve => {
			const actor = createActor(createPromotionMachine(steps), {input: order});
			function handleAbort(): void {
				actor.stop();
				resolve({kind: 'abandoned', reason: 'aborted'});
			}

			signal.addEventListener('abort', handleAbort, {once: true});
			actor.subscribe(snapshot => {
				const {context} = snapshot;
				const step = String(snapshot.value);
				running.set(order.group, context);
				recordEvent(step === 'abandoned' ? 'promotionAbandoned' : 'promotionStep', {
					group: order.group, term: context.announcement?.term, step, database: context.candidate, reason: step === 'abandoned' ? formatFailure(context) : order.reason, elapsedMs: clock.readNow() - startedAt,
				});
				if (snapshot.status === 'done') {
					signal.removeEventListener('abort', handleAbort);
					resolve(readOutcome(step, context));
				}
			});
			actor.start();
		});
	}

	return {
		async run(order) {
			if (running.has(order.group) || signal.aborted) {
				return {kind: 'abandoned', reason: 'superseded'};
			}

			running.set(order.group, {order, granted: []});
			try {
				return await runMachine(order);
			} finally {
				running.delete(order.group);
			}
		},
		isRunning: group => running.has(group),
		readTerm: group => running.get(group)?.announcement?.term ?? 0,
	};
}

function readOutcome(step: string, {announcement, candidate, ...context}: PromotionContext): PromotionOutcome {
	return step === 'done' && announcement && candidate !== undefined
		? {kind: 'done', term: announcement.term, primary: candidate}
		: {kind: 'abandoned', reason: formatFailure(context)};
}

function formatFailure({failure}: Pick<PromotionContext, 'failure'>): string {
	return failure instanceof Error ? failure.message : 'no majority granted the term';
}
