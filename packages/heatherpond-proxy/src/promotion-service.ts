/** Server side of the promotion service. */
import {status} from '@grpc/grpc-js';
import {applyFence, type HostBlackboard, type PrimacyBlackboard} from 'heatherpond-core';
import type {AskViewReply, AskViewRequest, PromotionServer} from 'heatherpond-peer';
import type {PromotionController} from './controllers/promotion-controller.js';

/** Dependencies of the promotion service. */
export type PromotionServiceOptions = {
	readonly blackboard: HostBlackboard;
	readonly primacy: PrimacyBlackboard;
	readonly controller: PromotionController;
	readonly readLog: () => Promise<boolean>;
	readonly countPending: (group: string) => number;
};

/** Creates the promotion service. */
export function createPromotionService(options: PromotionServiceOptions): PromotionServer {
	return {
		askView({request}, reply) {
			if (request.deployment === options.blackboard.read().identity.deployment) {
				reply(null, createViewReply(options, request));
			} else {
				reply({code: status.PERMISSION_DENIED, details: 'the host belongs to another deployment'});
			}
		},
	};
}

function createViewReply(options: PromotionServiceOptions, {group, version, fenceTerm}: AskViewRequest): AskViewReply {
	const {blackboard, primacy, controller} = options;
	primacy.update(state => applyFence(state, group, fenceTerm));
	const {identity, view} = blackboard.read();
	if (view.version < version) {
		void options.readLog();
	}

	const {canSee, suspicion} = controller.readAssessment(group);
	return {
		host: identity.host,
		incarnation: identity.incarnation,
		domain: identity.domain,
		version: view.version,
		canSee,
		suspicion,
		fencedTerm: primacy.read().fences[group] ?? 0,
		pendingProofs: options.countPending(group),
		promotingTerm: controller.readPromotingTerm(group),
	};
}
