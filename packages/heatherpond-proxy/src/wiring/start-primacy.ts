/** Starts database probing, proofs of primacy and promotions. */
import {randomUUID} from 'node:crypto';
import {createPrimacyBlackboard, type PrimacyGate} from 'heatherpond-core';
import {PromotionService} from 'heatherpond-peer';
import {startDatabaseProber} from '../controllers/database-prober.js';
import {readLogOnce} from '../controllers/log-follower.js';
import {createLogReader} from '../controllers/log-reader.js';
import {startPrimacyTracker} from '../controllers/primacy-tracker.js';
import {startPromotionController, type PromotionController} from '../controllers/promotion-controller.js';
import {createGroupMonitors} from '../controllers/group-monitors.js';
import {createProofGate} from '../gates/proof-primacy-gate.js';
import {createPromotionService} from '../promotion-service.js';
import type {HostContext} from './host-context.js';

/** Gate for the acknowledgement of writes, and the entry point for switchovers. */
export type Primacy = {
	readonly gate: PrimacyGate;
	readonly startSwitchover: PromotionController['startSwitchover'];
};

/** Starts all components concerned with primacy. They end when the context's signal aborts. */
export function startPrimacy(context: HostContext): Primacy {
	const {clock, settings: {timings}} = context;
	const primacy = createPrimacyBlackboard(clock.readNow());
	const parts = {
		...context, primacy, timings, monitors: createGroupMonitors(context.blackboard),
	};
	const gate = createProofGate(parts);
	const readLog = createLogReader(async () => readLogOnce(context), clock, context.signal);
	startPrimacyTracker(parts);
	startDatabaseProber(parts);
	const controller = startPromotionController({
		...parts,
		hosts: context.promotions,
		readLog,
		drawNumber: Math.random,
		createId: () => randomUUID(),
		countPending: gate.countPending,
	});
	context.server.addService(PromotionService, createPromotionService({
		...parts, controller, readLog, countPending: gate.countPending,
	}));
	return {gate, startSwitchover: controller.startSwitchover};
}
