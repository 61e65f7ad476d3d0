/** Side effects of the promotion state machine on databases, hosts and the log. */
import {
	decideCandidate, formatDatabaseKey, hasReached, PortError, waitUntil,
	type AnnouncedContext, type DatabaseStatus, type Deadline, type ElectedContext, type Member, type PromotedContext, type PromotionSteps, type UpstreamCallOptions,
} from 'heatherpond-core';
import {
	requestView, collectOtherHosts, createViewRequest, notifyHosts, waitForLeaseExpiry,
} from './host-requests.js';
import {appendEnd, appendStart} from './promotion-entries.js';
import {PromotionError} from './promotion-error.js';
import {
	collectProbeStates, findGroup, findMember, formatPromoter, type PromotionOptions,
} from './promotion-options.js';

const RETRY_DELAY_MS = 10;
/** Time that a switchover leaves to statements in flight on the old primary before writes are fenced off. */
const STATEMENT_GRACE_MS = 20;
/** Time limit of a switchover for the hosts to learn of it and to prove their pending commits. */
const HOSTS_READY_TIMEOUT_MS = 300;

/** Creates the implementations of the promotion steps. */
export function createPromotionSteps(options: PromotionOptions): PromotionSteps {
	return {
		announce: async (context, signal) => appendStart(options, context, signal),
		outwait: async (context, signal) => waitForLeaseExpiry(options, context, signal),
		drain: async (context, signal) => stopWrites(options, context, signal),
		raise: async (context, signal) => acquireTerm(options, context, signal),
		catchUp: async (context, signal) => updateCandidate(options, context, signal),
		promote: async (context, signal) => submitPromotion(options, context, signal),
		record: async (context, signal) => appendEnd(options, context, signal),
		redirect: async (context, signal) => updateFollowers(options, context, signal),
	};
}

/** Creates the options of one call to a member. A member whose last probes failed is called on a new connection. */
function createCallOptions({clock, timings, primacy}: PromotionOptions, member: string, {group, signal}: {readonly group: string; readonly signal: AbortSignal}): UpstreamCallOptions {
	const isUnreachable = primacy.read().probeStates[formatDatabaseKey(group, member)]?.unreachableSince !== undefined;
	return {deadline: clock.readNow() + timings.probeTimeoutMs, signal, onNewConnection: isUnreachable};
}

/** Calls a database. Resolves with `undefined` if the database did not respond or refused the call. */
async function callDatabase(call: () => Promise<DatabaseStatus>): Promise<DatabaseStatus | undefined> {
	try {
		return await call();
	} catch (error) {
		if (error instanceof PortError) {
			return undefined;
		}

		throw error;
	}
}

/** Retries a call until it succeeds, is refused, or the deadline passes. */
async function callWithRetries({clock}: PromotionOptions, call: () => Promise<DatabaseStatus>, limits: {readonly deadline: Deadline; readonly signal: AbortSignal}): Promise<DatabaseStatus> {
	while (true) {
		try {
			return await call();
		} catch (error) {
			const isFinal = !(error instanceof PortError) || error.code === 'refused' || clock.readNow() >= limits.deadline || limits.signal.aborted;
			if (isFinal) {
				throw error;
			}
		}

		await waitUntil(clock, clock.readNow() + RETRY_DELAY_MS, limits.signal);
	}
}

/** Requests the new term from all members. Waits for the unreachable ones only if the others yield no candidate. */
async function acquireTerm(options: PromotionOptions, {order, announcement}: AnnouncedContext, signal: AbortSignal): Promise<readonly DatabaseStatus[]> {
	const {clock, upstream, identity, timings} = options;
	const group = findGroup(options, order.group)!;
	const deadline = clock.readNow() + timings.stepTimeoutMs;
	const promoter = formatPromoter(identity.host, identity.incarnation);
	const unreachable = new Set(collectProbeStates(options, group).filter(probeState => probeState.unreachableSince !== undefined).map(probeState => probeState.name));
	const granted: DatabaseStatus[] = [];

	async function acquireFrom(member: Member): Promise<void> {
		const status = await callDatabase(async () => callWithRetries(options, async () => upstream.raiseTerm(member, announcement.term, promoter, createCallOptions(options, member.name, {group: order.group, signal})), {deadline, signal}));
		granted.push(...(status ? [status] : []));
	}

	const calls = group.settings.members.map(member => ({isUnreachable: unreachable.has(member.name), done: acquireFrom(member)}));
	const reachableCalls = Promise.all(calls.filter(call => !call.isUnreachable).map(async call => call.done));
	const allCalls = Promise.all(calls.map(async call => call.done));
	await Promise.race([reachableCalls, waitUntil(clock, deadline, signal)]);
	if (!decideCandidate({members: order.members, granted, basis: order.basis})) {
		await Promise.race([allCalls, waitUntil(clock, deadline, signal)]);
	}

	return [...granted];
}

/** Makes the candidate replicate missing log entries from the old primary, if that has granted the term as well. */
async function updateCandidate(options: PromotionOptions, {order, announcement, candidate, granted}: ElectedContext, signal: AbortSignal): Promise<void> {
	const group = findGroup(options, order.group);
	const source = granted.find(status => status.name === order.primary);
	const own = granted.find(status => status.name === candidate)!;
	const primary = findMember(group, order.primary);
	const member = findMember(group, candidate);
	if (source && primary && member && !hasReached(own, source)) {
		await callDatabase(async () => options.upstream.follow(member, primary, announcement.term, createCallOptions(options, candidate, {group: order.group, signal})));
	}
}

/** Promotes the candidate. */
async function submitPromotion(options: PromotionOptions, {order, announcement, candidate}: ElectedContext, signal: AbortSignal): Promise<DatabaseStatus> {
	const {upstream, identity, clock, timings} = options;
	const member = findMember(findGroup(options, order.group), candidate);
	if (!member) {
		throw new PromotionError(`the group has no database "${candidate}"`, {props: {reason: 'unsuitable'}});
	}

	const promoter = formatPromoter(identity.host, identity.incarnation);
	return callWithRetries(options, async () => upstream.promote(member, announcement.term, promoter, createCallOptions(options, candidate, {group: order.group, signal})), {deadline: clock.readNow() + timings.stepTimeoutMs, signal});
}

/** Notifies the other hosts of the new primary and makes the other members follow it. */
async function updateFollowers(options: PromotionOptions, {order, announcement, candidate}: PromotedContext, signal: AbortSignal): Promise<void> {
	notifyHosts(options, order.group);
	const group = findGroup(options, order.group);
	const primary = findMember(group, candidate)!;
	const others = group?.settings.members.filter(member => member.name !== candidate) ?? [];
	await Promise.all(others.map(async member => callDatabase(async () => options.upstream.follow(member, primary, announcement.term, createCallOptions(options, member.name, {group: order.group, signal})))));
}

/**
 * Fences the old primary against writes once no host sends any, and waits until the requested database has received all
 * of them.
 */
async function stopWrites(options: PromotionOptions, {order, announcement}: AnnouncedContext, signal: AbortSignal): Promise<void> {
	const {clock, identity, upstream, timings} = options;
	const group = findGroup(options, order.group);
	const primary = findMember(group, order.primary);
	const wanted = findMember(group, order.wanted);
	if (!primary || !wanted) {
		throw new PromotionError('the primary or the requested database does not exist', {props: {reason: 'unsuitable'}});
	}

	await waitForHostsReady(options, {order, announcement}, signal);
	await waitUntil(clock, clock.readNow() + STATEMENT_GRACE_MS, signal);
	const deadline = clock.readNow() + timings.switchoverDrainMs;
	const promoter = formatPromoter(identity.host, identity.incarnation);
	const fencedStatus = await callWithRetries(options, async () => upstream.raiseTerm(primary, announcement.term, promoter, createCallOptions(options, primary.name, {group: order.group, signal})), {deadline, signal});
	while (clock.readNow() < deadline && !signal.aborted) {
		const status = await callDatabase(async () => upstream.follow(wanted, primary, order.basis.term, createCallOptions(options, wanted.name, {group: order.group, signal})));
		if (status && hasReached(status, fencedStatus)) {
			break;
		}

		await waitUntil(clock, clock.readNow() + RETRY_DELAY_MS, signal);
	}

	await waitForHostsReady(options, {order, announcement}, signal);
}

/**
 * Waits until every responsive host knows of the promotion and has no commit waiting for a proof, or until the time
 * limit.
 */
async function waitForHostsReady(options: PromotionOptions, {order, announcement}: Pick<AnnouncedContext, 'order' | 'announcement'>, signal: AbortSignal): Promise<void> {
	const {clock} = options;
	const deadline = clock.readNow() + HOSTS_READY_TIMEOUT_MS;
	const request = {...createViewRequest(options, order.group, announcement.term), version: announcement.version};
	while (clock.readNow() < deadline && !signal.aborted) {
		const responses = await Promise.all(collectOtherHosts(options).map(async host => requestView(options, host, request)));
		const isReady = responses.every(response => !response || (response.version >= announcement.version && response.pendingProofs === 0));
		if (isReady && options.countPending(order.group) === 0) {
			return;
		}

		await waitUntil(clock, clock.readNow() + RETRY_DELAY_MS, signal);
	}
}
