/** Handlers for the messages of other hosts. */
import {applyConfirmation, applyPrimacy, applySuspicion} from './apply-fleet-update.js';
import {checkStoreEra, checkSuspension, type HostContext} from './fleet-followers.js';
import type {HostDiscovery} from './host-discovery.js';
import {applyHostContacts, applyHostDeparture} from './host-list.js';
import type {HostMessageHandlers} from './host-message-handlers.js';
import type {HostRegistration} from './host-registration.js';
import {createStoreVersion} from './store-version.js';
import type {TeamLimits} from './team-limits.js';
import type {UsageExchange} from './usage-exchange.js';

/** Parts of the host that handle messages. */
export type MessageHandlerOptions = {
	readonly host: HostContext;
	readonly limits: Pick<TeamLimits, 'decideGrant' | 'decideTransfer'>;
	readonly registration: HostRegistration;
	readonly exchange: Pick<UsageExchange, 'applyReport' | 'applyDigest' | 'applyIntroduced'>;
	readonly discovery: Pick<HostDiscovery, 'handleIntroduction' | 'refresh'>;
};

/** Creates the handlers for the messages of other hosts. */
export function createMessageHandlers({host, limits, registration, exchange, discovery}: MessageHandlerOptions): HostMessageHandlers {
	const {blackboard, clock, cache} = host;
	return {
		handleRegistered(news) {
			checkSuspension(host);
			checkStoreEra(host, createStoreVersion(news.era ?? 0, 0));
			registration.applyRegistrationUpdate(news);
		},
		handleUsage(report, isRelayed) {
			blackboard.update(state => report.hasLeft ? applyHostDeparture(state, report) : applyHostContacts(state, [report], clock.readNow()));
			exchange.applyReport(report, isRelayed);
		},
		handleIntroduction: discovery.handleIntroduction,
		handleIntroduced: exchange.applyIntroduced,
		handleDigest(digest) {
			const {domain} = digest.own;
			const members = exchange.applyDigest(digest);
			blackboard.update(state => applyHostContacts(state, members.map(member => ({...member, domain})), clock.readNow()));
			discovery.refresh();
		},
		handlePrimacy(primacy) {
			blackboard.update(state => applyPrimacy(state, primacy));
		},
		handleConfirmation(confirmation) {
			blackboard.update(state => applyConfirmation(state, confirmation));
		},
		handleSuspicion(record, isSuspected) {
			blackboard.update(state => applySuspicion(state, record, isSuspected));
		},
		readTableChanges(table, after) {
			checkSuspension(host);
			return cache.readChanges(table, after, clock.readNow());
		},
		decideGrant: limits.decideGrant,
		decideTransfer: limits.decideTransfer,
	};
}
