/** Datagrams between hosts: usage reports, registrations, promotions and their confirmations, suspicions, and requests with their responses. */
import type {Deadline, Instant} from 'heatherpond-core';
import {
	parseRecord, type ConfirmationRecord, type HostRecord, type PrimacyRecord, type SuspicionRecord,
} from './fleet-records.js';
import {createDatagramBatches, type SendOptions} from './datagram-batches.js';
import {createDatagramParts, type DatagramPort} from './datagram-parts.js';
import type {RequestChanges} from './domain-leader.js';
import type {SeedAddress} from './host-discovery.js';
import {
	hostMessageSchema, type HostContact, type HostMessage, type NotificationMessage, type RegistrationUpdate, type RequestMessage, type ResponseMessage,
} from './host-message.js';
import type {FleetServices} from './fleet-services.js';
import type {Versioned} from './fleet-state.js';
import {REGISTRATION_EXPIRY_MS} from './promotion-decisions.js';
import type {CachedChanges} from './table-cache.js';
import type {RequestGrant, Grant, TeamLimitsOptions} from './team-limits.js';
import type {DomainDigest, UsageReport} from './usage-report.js';

/** Age of the last known registration of a host in another domain after which it is no longer sent messages, in milliseconds. */
const REMOTE_PEER_EXPIRY_MS = 30_000;

/** Time for which the peers that were found are reused, in milliseconds. */
const PEERS_CACHE_MS = 250;

/** Time for which periodic messages to the same host are gathered, in milliseconds. */
export const GATHERING_MS = 3;

/** A request for the changes of a table. */
type QuestionMessage = Extract<RequestMessage, {readonly kind: 'question'}>;

/** Peers found among a list of hosts. */
type FoundPeers = {readonly hosts: ReadonlyMap<string, HostRecord>; readonly storeClockOffset: number; readonly until: Instant; readonly found: readonly HostRecord[]};

/** Handlers for the messages of other hosts. */
export type HostMessageHandlers = {
	/** Handles a usage report; the report of another domain is relayed to the own domain, unless it has been relayed already. */
	readonly handleUsage: (report: UsageReport, isRelayed: boolean) => void;
	/** Handles the introduction of a host that has just started; returns hosts of its domain. */
	readonly handleIntroduction: (host: HostContact) => readonly HostContact[];
	/** Handles the response of a seed to the introduction of this host. */
	readonly handleIntroduced: (hosts: readonly HostContact[]) => void;
	/** Handles the digest of the own domain's leader. */
	readonly handleDigest: (digest: DomainDigest) => void;
	/** Handles the notice that another host has refreshed registrations. */
	readonly handleRegistered: (news: RegistrationUpdate) => void;
	readonly handlePrimacy: (primacy: Versioned<PrimacyRecord>) => void;
	readonly handleConfirmation: (confirmation: ConfirmationRecord) => void;
	readonly handleSuspicion: (suspicion: SuspicionRecord, isSuspected: boolean) => void;
	/** Reads the changes of a table since a version for another host. */
	readonly readTableChanges: (table: string, after: number) => CachedChanges;
	/** Decides how many operations of a team another host of the failure domain may admit. */
	readonly decideGrant: (team: string, wanted: number) => Promise<Grant>;
	/** Decides how many tokens of a team the leader of another domain is given. */
	readonly decideTransfer: (team: string, wanted: number) => number;
};

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
	let peers: FoundPeers | undefined;

	/** Finds the peers; every statement needs them, so the result is reused until the list of hosts changes, and for a short time at most. */
	function findPeers(): readonly HostRecord[] {
		const {hosts, storeClockOffset} = blackboard.read();
		const now = clock.readNow();
		if (peers?.hosts === hosts && peers.storeClockOffset === storeClockOffset && now < peers.until) {
			return peers.found;
		}

		peers = {
			hosts, storeClockOffset, until: now + PEERS_CACHE_MS, found: selectPeers(hosts, now + storeClockOffset),
		};
		return peers.found;
	}

	function selectPeers(hosts: ReadonlyMap<string, HostRecord>, storeNow: number): readonly HostRecord[] {
		// Records of the own domain are refreshed by each received report or digest, those of other domains only when the store is read.
		return [...hosts.values()].filter(record => record.host !== identity.host
			&& storeNow < record.refreshedAt + (record.domain === identity.domain ? REGISTRATION_EXPIRY_MS : REMOTE_PEER_EXPIRY_MS));
	}

	/** Callbacks of requests whose response is awaited, by request id. */
	const pendingRequests = new Map<string, (response: ResponseMessage | undefined) => void>();
	let requestCount = 0;

	function handleResponse(id: string, response: ResponseMessage | undefined): void {
		pendingRequests.get(id)?.(response);
		pendingRequests.delete(id);
	}

	async function sendRequest(receiver: HostContact, createRequest: (id: string) => HostMessage, {deadline, sendBy}: {readonly deadline: Deadline; readonly sendBy?: Deadline}): Promise<ResponseMessage | undefined> {
		requestCount++;
		const id = `${identity.incarnation}-${requestCount}`;
		return new Promise<ResponseMessage | undefined>(resolve => {
			const stopTimer = clock.registerTimer(deadline, () => {
				handleResponse(id, undefined);
			});
			pendingRequests.set(id, response => {
				stopTimer();
				resolve(response);
			});
			datagrams.send(() => JSON.stringify(createRequest(id)), receiver, sendBy === undefined ? undefined : {sendBy});
		});
	}

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

async function createResponse(request: Exclude<RequestMessage, QuestionMessage>, handlers: HostMessageHandlers): Promise<ResponseMessage> {
	if (request.kind === 'grant-question') {
		return {kind: 'grant', id: request.id, ...await handlers.decideGrant(request.team, request.wanted)};
	}

	if (request.kind === 'transfer-question') {
		return {kind: 'transfer', id: request.id, given: handlers.decideTransfer(request.team, request.wanted)};
	}

	handlers.handleConfirmation(request.record);
	return {kind: 'confirmed', id: request.id};
}

/** Creates the response to a request for changes at once, so that the responses to several requests share a datagram. */
function createAnswer(request: QuestionMessage, handlers: HostMessageHandlers): ResponseMessage {
	const changes = handlers.readTableChanges(request.table, request.after);
	return changes.kind === 'page'
		? {kind: 'answer', id: request.id, page: {...changes.page, rows: [...changes.page.rows]}}
		: {kind: 'answer', id: request.id, isTooLarge: changes.kind === 'too_large'};
}

function handleNotification(message: NotificationMessage | undefined, handlers: HostMessageHandlers): void {
	switch (message?.kind) {
		case 'usage': {
			handlers.handleUsage(message.report, message.isRelayed);
			break;
		}

		case 'introduced': {
			handlers.handleIntroduced(message.hosts);
			break;
		}

		case 'digest': {
			handlers.handleDigest(message.digest);
			break;
		}

		case 'registered': {
			handlers.handleRegistered(message.news);
			break;
		}

		case 'primacy': {
			handlers.handlePrimacy({record: message.record, version: message.version});
			break;
		}

		case 'suspicion': {
			handlers.handleSuspicion(message.record, message.isSuspected);
			break;
		}

		case undefined: {
			// Datagrams of other programs or incompatible versions are ignored.
			break;
		}
	}
}
