/** Routes a request to a database, and waits for admission and for a pooled connection. */
import {
	decideRoute, findEntry, findPrimary, formatDatabaseKey, isIncluded, readProvenAge, RefusalError,
	type Deadline, type GroupRecord, type LogPosition, type RequestTicket, type RouteDecision,
} from 'heatherpond-core';
import {readTeam, type ClientContext} from './client-context.js';
import type {RunningRequest, ConnectionAssignment} from './running-request.js';
import {ROUTING_STATE, waitForChange} from './state-waits.js';
import {WriteLostError} from './write-lost-error.js';

/** Database that was chosen for a request. */
type DatabaseRoute = {readonly group: GroupRecord; readonly database: string; readonly isPrimary: boolean};

/** Milliseconds after which clients are told to retry when a group has no primary. */
const NO_PRIMARY_RETRY_AFTER_MS = 500;

/** Milliseconds that a request whose session token is from a later term waits for this host's view to catch up. */
const FUTURE_TERM_WAIT_MS = 500;

/**
 * Acquires a connection for a request. If the group has changed while the request waited, the connection is released and
 * the request is routed again.
 */
export async function acquireAssignment(context: ClientContext, running: RunningRequest): Promise<ConnectionAssignment> {
	const ticket = createTicket(context, running);
	if (!running.wasAdmitted) {
		await context.services.requestGate.admit(ticket);
		running.wasAdmitted = true;
	}

	while (true) {
		const found = await waitForRoute(context, running);
		const assignment = await acquireFromPool(context, running, ticket, found);
		if (isRouteCurrent(context, running, found)) {
			return assignment;
		}

		assignment.handle.release(true);
		assignment.permit.release('answered');
	}
}

/**
 * Waits for the admission of a request in an open transaction. COMMIT and ROLLBACK are always admitted, because they
 * free the connection.
 */
export async function waitForAdmission(context: ClientContext, running: RunningRequest): Promise<void> {
	const isTransactionEnd = running.request.statements.every(statement => statement.kind === 'commit' || statement.kind === 'rollback');
	if (!isTransactionEnd) {
		await context.services.requestGate.admit(createTicket(context, running));
	}
}

function createTicket(context: ClientContext, running: RunningRequest): RequestTicket {
	return {
		requestId: running.requestId,
		team: readTeam(context),
		contract: running.contract,
		group: running.route.group,
		cost: Math.max(1, running.request.statements.length),
		bytes: running.request.bytes,
		deadline: running.deadline,
		get signal() {
			return running.cancellation.signal;
		},
	};
}

async function acquireFromPool(context: ClientContext, running: RunningRequest, ticket: RequestTicket, {group, database, isPrimary}: DatabaseRoute): Promise<ConnectionAssignment> {
	const {services, settings} = context;
	const {name, members} = group.settings;
	const member = members.find(candidate => candidate.name === database)!;
	const permit = await services.databaseGate.acquire(ticket, database);
	try {
		const handle = await services.pools.acquire(name, member, ticket);
		return {
			handle, permit, group: name, member, isPrimary, required: findEntry(settings.token, name), mayHaveWritten: false, hasFlushed: false, hasFailed: false, mayHoldState: false,
		};
	} catch (error) {
		running.failed.add(database);
		permit.release('failed');
		throw error;
	}
}

/** Whether the chosen database is still primary, or not draining if it was chosen as a replica. */
function isRouteCurrent({services}: ClientContext, running: RunningRequest, found: DatabaseRoute): boolean {
	const group = services.blackboard.read().view.groups[running.route.group];
	if (!group) {
		return false;
	}

	return found.isPrimary ? findPrimary(group) === found.database : !group.leaving.includes(found.database);
}

async function waitForRoute(context: ClientContext, running: RunningRequest): Promise<DatabaseRoute> {
	const {services} = context;
	const replicaDeadline: Deadline = Math.min(running.deadline, services.clock.readNow() + services.limits.replicaWaitMs);
	const viewDeadline: Deadline = Math.min(running.deadline, services.clock.readNow() + FUTURE_TERM_WAIT_MS);
	while (true) {
		const {group, decision} = findRoute(context, running);
		if (decision.kind === 'send') {
			services.recordEvent('requestRouted', {
				request: running.requestId, session: context.sessionId, team: readTeam(context), group: group.settings.name, database: decision.database, reason: decision.reason,
			});
			return {group, database: decision.database, isPrimary: decision.isPrimary};
		}

		checkSessionToken(decision, services.clock.readNow() >= viewDeadline || running.cancellation.isCanceled());
		const primary = findPrimary(group);
		const deadline = decision.kind === 'wait' && primary !== undefined ? replicaDeadline : running.deadline;
		if (services.clock.readNow() >= deadline || running.cancellation.isCanceled()) {
			if (decision.kind === 'wait' && primary !== undefined) {
				return {group, database: primary, isPrimary: true};
			}

			throw new RefusalError('the group currently has no primary', {props: {reason: 'no_upstream', retryAfterMs: NO_PRIMARY_RETRY_AFTER_MS}});
		}

		const isTokenAhead = decision.kind === 'refuse' && decision.reason === 'future_token';
		await waitForChange(context, running, {deadline: isTokenAhead ? viewDeadline : deadline, selectors: ROUTING_STATE});
	}
}

/**
 * Throws when a write of the session was lost, or when the token is still from an unknown term after the wait for the
 * view.
 */
function checkSessionToken(decision: RouteDecision, hasViewTimedOut: boolean): void {
	if (decision.kind === 'refuse' && (decision.reason === 'write_lost' || (decision.reason === 'future_token' && hasViewTimedOut))) {
		const message = decision.reason === 'write_lost' ? 'a write of this session was lost in a failover' : 'the session token is from a later term than this host knows';
		throw new WriteLostError(message, {props: {reason: decision.reason}});
	}
}

function findRoute(context: ClientContext, running: RunningRequest): {readonly group: GroupRecord; readonly decision: RouteDecision} {
	const {services, settings} = context;
	const state = services.blackboard.read();
	const group = state.view.groups[running.route.group];
	if (!group) {
		throw new RefusalError(`group ${running.route.group} is not known to this host`, {props: {reason: 'no_upstream', retryAfterMs: NO_PRIMARY_RETRY_AFTER_MS}});
	}

	const {name} = group.settings;
	const direction = services.random() < 0.5 ? -1 : 1;
	const decision = decideRoute({
		group,
		findKnowledge: database => running.failed.has(database) ? undefined : state.databases[formatDatabaseKey(name, database)],
		need: {
			kind: running.request.isRead && !running.needsPrimary ? 'read' : 'write',
			required: findEntry(settings.token, name),
			maxStalenessMs: settings.maxStalenessMs ?? running.route.maxStalenessMs,
			maxWaitMs: services.limits.replicaWaitMs,
		},
		verifiedAt: state.stamp.verifiedAt,
		now: services.clock.readNow(),
		// A random direction spreads requests over databases with equal expected waits.
		order: (left, right) => (services.databaseGate.readExpectedWait(name, left) - services.databaseGate.readExpectedWait(name, right)) || (left < right ? -direction : direction),
	});
	return {group, decision};
}

/** Whether a response that was read at log position `point` satisfies the staleness limit, or else the session token. */
export function isResponseFreshEnough(context: ClientContext, running: RunningRequest, assignment: ConnectionAssignment, point: LogPosition): boolean {
	const {services, settings} = context;
	const {view, databases, stamp} = services.blackboard.read();
	const group = view.groups[assignment.group];
	const maxStalenessMs = settings.maxStalenessMs ?? running.route.maxStalenessMs;
	if (!group) {
		return false;
	}

	if (maxStalenessMs > 0 && !assignment.isPrimary) {
		const replica = databases[formatDatabaseKey(assignment.group, assignment.member.name)];
		const ageMs = replica
			? readProvenAge({
				group, findKnowledge: database => databases[formatDatabaseKey(assignment.group, database)], verifiedAt: stamp.verifiedAt, now: services.clock.readNow(),
			}, replica)
			: Number.POSITIVE_INFINITY;
		return ageMs <= maxStalenessMs;
	}

	return !assignment.required || isIncluded(point, assignment.required, group.termStarts);
}

/** Records the log position that a replica reported with a response, so that routing knows it before the next probe. */
export function recordReplicaPosition({services}: ClientContext, assignment: ConnectionAssignment, point: LogPosition): void {
	const key = formatDatabaseKey(assignment.group, assignment.member.name);
	const status = services.blackboard.read().databases[key]?.status;
	if (assignment.isPrimary || point.term !== status?.last.term || point.position <= status.last.position) {
		return;
	}

	services.blackboard.update(state => {
		const known = state.databases[key]!;
		return {...state, databases: {...state.databases, [key]: {...known, status: {...status, last: point}}}};
	});
}

