/** Exchanges freshness stamps and log entries with peers. Each exchange also serves as a heartbeat. */
import {
	applyPeerContact, applyPeerTimeout, createRelayedStamp, decideNewerStamp, isPeerUnresponsive, PortError, readStampAge,
	type Clock, type HostBlackboard, type HostRecord, type HostState, type PeerPort, type RecordEvent, type StampResponse, type StampRequest,
} from 'heatherpond-core';
import {applyEntries, applyFullView} from './log-follower.js';

/** Dependencies of the exchange with peers. */
export type PeerExchangeOptions = {
	readonly blackboard: HostBlackboard;
	readonly peers: PeerPort;
	readonly clock: Clock;
	readonly recordEvent: RecordEvent;
	readonly signal: AbortSignal;
};

/** Requests the stamp of one peer. Resolves with whether the peer responded. */
export type RequestStamp = (record: HostRecord) => Promise<boolean>;

const STAMP_TIMEOUT_MS = 600;
const VIEW_TIMEOUT_MS = 5000;
/** Maximum number of log entries in one response. */
const MAX_RESPONSE_ENTRIES = 64;

/** Creates the function that requests stamps from registered peers, with at most one request per peer in flight. */
export function createStampRequester(options: PeerExchangeOptions): RequestStamp {
	const {blackboard, recordEvent, clock} = options;
	const inFlight = new Map<string, Promise<boolean>>();

	async function requestStamp(record: HostRecord): Promise<boolean> {
		try {
			await exchangeStamps(options, record.peerAddress);
			return true;
		} catch (error) {
			if (!(error instanceof PortError)) {
				throw error;
			}

			const wasUnresponsive = isPeerUnresponsive(blackboard.read().peers, record.host);
			blackboard.update(state => ({...state, peers: applyPeerTimeout(state.peers, record, clock.readNow())}));
			if (!wasUnresponsive && isPeerUnresponsive(blackboard.read().peers, record.host)) {
				recordEvent('peerLost', {peer: record.host});
			}

			return false;
		} finally {
			inFlight.delete(record.host);
		}
	}

	return async record => {
		const known = inFlight.get(record.host) ?? requestStamp(record);
		inFlight.set(record.host, known);
		return known;
	};
}

/** Exchanges stamps with the peer at an address. Also works for configured peers before the host has a view. */
export async function exchangeStamps(options: PeerExchangeOptions, address: string): Promise<StampResponse> {
	const {blackboard, peers, clock, signal} = options;
	const requestedAt = clock.readNow();
	const response = await peers.askStamp(address, createStampRequest(blackboard.read(), requestedAt), {deadline: requestedAt + STAMP_TIMEOUT_MS, signal});
	recordContact(options, {...response, peerAddress: address, domain: blackboard.read().view.hosts[response.host]?.domain ?? ''}, requestedAt);
	applyEntries(blackboard, response.entries, options.recordEvent);
	const isBehind = blackboard.read().view.version < response.version;
	if (isBehind && response.entries.length < MAX_RESPONSE_ENTRIES) {
		const view = await peers.askView(address, {deadline: clock.readNow() + VIEW_TIMEOUT_MS, signal});
		applyFullView(blackboard, view, options.recordEvent);
	}

	if (blackboard.read().view.version >= response.version && response.ageMs !== undefined) {
		const stamp = createRelayedStamp(blackboard.read().view.version, response.ageMs, requestedAt);
		blackboard.update(state => ({...state, stamp: decideNewerStamp(state.stamp, stamp)}));
	}

	return response;
}

function createStampRequest({identity, view, stamp, ledgerVersion}: HostState, now: number): StampRequest {
	const age = readStampAge(stamp, now);
	return {
		host: identity.host, incarnation: identity.incarnation, domain: identity.domain, peerAddress: identity.peerAddress, version: view.version, ageMs: Number.isFinite(age) ? age : undefined, ledgerVersion,
	};
}

/** Handles a peer's stamp request and records the state that the peer reports about itself. */
export function handleStampRequest(options: Omit<PeerExchangeOptions, 'peers'>, request: StampRequest): StampResponse {
	const {blackboard, clock} = options;
	recordContact(options, request);
	const {identity, view, stamp, recentEntries, ledgerVersion} = blackboard.read();
	const age = readStampAge(stamp, clock.readNow());
	const hasNext = recentEntries.some(entry => entry.version === request.version + 1);
	return {
		host: identity.host,
		incarnation: identity.incarnation,
		version: view.version,
		ageMs: Number.isFinite(age) ? age : undefined,
		entries: hasNext ? recentEntries.filter(entry => entry.version > request.version).slice(0, MAX_RESPONSE_ENTRIES) : [],
		ledgerVersion,
	};
}

/** State that a peer reports about itself. */
type PeerContact = Pick<StampRequest, 'host' | 'incarnation' | 'domain' | 'peerAddress' | 'version' | 'ledgerVersion'>;

function recordContact({blackboard, clock, recordEvent}: Omit<PeerExchangeOptions, 'peers'>, contact: PeerContact, requestedAt?: number): void {
	const {host, incarnation, domain, peerAddress, version, ledgerVersion} = contact;
	const wasUnresponsive = isPeerUnresponsive(blackboard.read().peers, host);
	blackboard.update(state => ({
		...state,
		peers: applyPeerContact(state.peers, {
			host, incarnation, domain, peerAddress, version, ledgerVersion,
		}, clock.readNow(), requestedAt),
	}));
	if (wasUnresponsive && !isPeerUnresponsive(blackboard.read().peers, host)) {
		recordEvent('peerFound', {peer: host});
	}
}
