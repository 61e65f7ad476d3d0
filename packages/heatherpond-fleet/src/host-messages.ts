/** Datagrams between hosts: usage reports, registrations, promotions and their confirmations, suspicions, and requests with their responses. */
import type {Deadline} from 'heatherpond-core';
import {createPeerFinder} from './current-peers.js';
import {
	parseRecord, type ConfirmationRecord, type HostRecord, type PrimacyRecord, type SuspicionRecord,
} from './fleet-records.js';
import {createDatagramBatches, type SendOptions} from './datagram-batches.js';
import {createDatagramParts, type DatagramPort} from './datagram-parts.js';
import type {RequestChanges} from './domain-leader.js';
import type {SeedAddress} from './host-discovery.js';
import {
	hostMessageSchema, type HostContact, type HostMessage, type RegistrationUpdate,
} from './host-message.js';
import {
	createAnswer, createResponse, handleNotification, type HostMessageHandlers,
} from './host-message-handlers.js';
import type {FleetServices} from './fleet-services.js';
import type {Versioned} from './fleet-state.js';
import {createRequestExchange} from './request-exchange.js';
import type {RequestGrant, TeamLimitsOptions} from './team-limits.js';
import type {DomainDigest, UsageReport} from './usage-report.js';

/** Time for which periodic messages to the same host are gathered, in milliseconds. */
export const GATHERING_MS = 3;

/** Sends messages to peers: the other hosts whose registration may be valid, so that they may rely on leases. */
export type HostMessages = {
	/** Sends a report, at the latest by `sendBy`; until then it waits for another message to the same host. */
	readonly sendUsage: (report: UsageReport, receivers: readonly HostContact[], sendBy?: Deadline) => void;
	/** Relays the report of another domain to hosts of the own domain. */
	readonly sendRelayed: (report: UsageReport, receivers: readonly HostContact[], sendBy: Deadline) => void;
	/** Sends a digest that is created for each receiver when it is sent, because it tells how long hosts have been running. */
	readonly sendDigest: (createDigest: (receiver: HostContact) => DomainDigest, receivers: readonly HostContact[], sendBy?: Deadline) => void;
	/** Introduces this host to a seed. */
	readonly sendIntroduction: (seed: SeedAddress) => void;
	/** Notifies the hosts of the own failure domain which registrations this one has refreshed. */
	readonly sendRegistered: (news: RegistrationUpdate) => void;
	readonly sendPrimacy: (primacy: Versioned<PrimacyRecord>) => void;
	/** Sends a confirmation to the host that carries out a promotion; resolves to whether it has acknowledged it. */
	readonly requestConfirmation: (host: HostContact, confirmation: ConfirmationRecord, deadline: Deadline) => Promise<boolean>;
	readonly sendSuspicion: (suspicion: SuspicionRecord, isSuspected: boolean, receivers: readonly HostContact[]) => void;
	/** Requests the changes of a table from one host. */
	readonly requestChanges: RequestChanges;
	/** Requests operations of a team from one host; resolves to nothing when it does not respond in time. */
	readonly requestGrant: RequestGrant;
	/** Requests tokens of a team from the leader of another domain; resolves to how many it gave. */
	readonly requestTransfer: TeamLimitsOptions['requestTransfer'];
	/** Reads the records of the peers. */
	readonly readPeers: () => readonly HostRecord[];
	readonly registerHandlers: (handlers: HostMessageHandlers) => void;
};

/** Creates the exchange of messages; received ones are handled once handlers are registered. */
export function createHostMessages({blackboard, clock, identity, writeEvent}: Pick<FleetServices, 'blackboard' | 'clock' | 'identity' | 'writeEvent'>, port: DatagramPort): HostMessages {
	const datagrams = createDatagramBatches(createDatagramParts(port, clock, identity.incarnation), clock);
	const {sendRequest, handleResponse} = createRequestExchange(datagrams, clock, identity.incarnation);
	const findPeers = createPeerFinder({blackboard, clock, identity});
	const {address: ownAddress, port: ownPort, host, incarnation, domain: ownDomain} = identity;

	function sendTo(receivers: readonly HostContact[], message: HostMessage, options?: SendOptions): void {
		const text = JSON.stringify(message);
		receivers.forEach(receiver => {
			datagrams.send(() => text, receiver, options);
		});
	}

	function sendToPeers(message: HostMessage, isReceiver: (host: HostRecord) => boolean = () => true): void {
		sendTo(findPeers().filter(isReceiver), message);
	}

	return {
		sendUsage(report, receivers, sendBy) {
			sendTo(receivers, {kind: 'usage', report, isRelayed: false}, sendBy === undefined ? undefined : {sendBy});
		},
		sendRelayed(report, receivers, sendBy) {
			sendTo(receivers, {kind: 'usage', report, isRelayed: true}, {sendBy, topic: report.domain});
		},
		sendDigest(createDigest, receivers, sendBy) {
			receivers.forEach(receiver => {
				datagrams.send(() => JSON.stringify({kind: 'digest', digest: createDigest(receiver)} satisfies HostMessage), receiver, {sendBy: sendBy ?? clock.readNow(), topic: 'digest'});
			});
		},
		sendIntroduction(seed) {
			const introduction: HostMessage = {
				kind: 'introduction', host: {
					host, incarnation, domain: ownDomain, address: ownAddress, port: ownPort,
				},
			};
			datagrams.send(() => JSON.stringify(introduction), seed);
		},
		readPeers: findPeers,
		sendRegistered(news) {
			sendToPeers({kind: 'registered', news}, ({domain}) => domain === identity.domain);
		},
		sendPrimacy({record, version}) {
			sendToPeers({kind: 'primacy', record, version});
		},
		async requestConfirmation(receiver, record, deadline) {
			const response = await sendRequest(receiver, id => ({
				kind: 'confirmation', id, record, address: ownAddress, port: ownPort,
			}), {deadline});
			return response?.kind === 'confirmed';
		},
		sendSuspicion(record, isSuspected, receivers) {
			sendTo(receivers, {kind: 'suspicion', record, isSuspected});
		},
		async requestChanges(receiver, {table, after}, deadline) {
			const response = await sendRequest(receiver, id => ({
				kind: 'question', id, table, after, address: ownAddress, port: ownPort,
			}), {deadline, sendBy: clock.readNow() + GATHERING_MS});
			if (response?.kind !== 'answer') {
				return {kind: 'silent'};
			}

			if (response.page) {
				return {kind: 'page', page: response.page};
			}

			return {kind: response.isTooLarge === true ? 'too_large' : 'unread'};
		},
		async requestGrant(receiver, {team, wanted}, deadline) {
			const response = await sendRequest(receiver, id => ({
				kind: 'grant-question', id, team, wanted, address: ownAddress, port: ownPort,
			}), {deadline});
			return response?.kind === 'grant' ? response : undefined;
		},
		async requestTransfer(receiver, {team, wanted}, deadline) {
			const response = await sendRequest(receiver, id => ({
				kind: 'transfer-question', id, team, wanted, address: ownAddress, port: ownPort,
			}), {deadline});
			return response?.kind === 'transfer' ? response.given : 0;
		},
		registerHandlers(handlers) {
			datagrams.registerListener(text => {
				try {
					handleMessage(parseRecord(hostMessageSchema, text), handlers);
				} catch (error) {
					recordFault(error);
				}
			});
		},
	};

	function handleMessage(message: HostMessage | undefined, handlers: HostMessageHandlers): void {
		switch (message?.kind) {
			case 'question': {
				const answer = JSON.stringify(createAnswer(message, handlers));
				datagrams.send(() => answer, message);
				break;
			}

			case 'confirmation':
			case 'transfer-question':
			case 'grant-question': {
				createResponse(message, handlers).then(response => {
					datagrams.send(() => JSON.stringify(response), message);
				}).catch(recordFault);
				break;
			}

			case 'introduction': {
				sendTo([message.host], {kind: 'introduced', hosts: [...handlers.handleIntroduction(message.host)]});
				break;
			}

			case 'answer':
			case 'confirmed':
			case 'transfer':
			case 'grant': {
				handleResponse(message.id, message);
				break;
			}

			default: {
				handleNotification(message, handlers);
				break;
			}
		}
	}

	/** Logs the failure to handle a message; it must not end the process, and the next message is handled as usual. */
	function recordFault(error: unknown): void {
		writeEvent('message_fault', {reason: error instanceof Error ? error.stack : String(error)});
	}
}
