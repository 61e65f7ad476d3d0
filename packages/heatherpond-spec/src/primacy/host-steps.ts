/** Steps by which hosts read the log and refresh their stamps, and the steps of time and of host removal. */
import {appendNode, isPrefixOf, type LogNode} from './log-node.js';
import type {StepContext, StepHandlers} from './step-handlers.js';
import {
	BEFORE_ANY_LEASE, TICK_DURATION, type HostModel, type PrimacyState, type StampResponse,
} from './primacy-state.js';
import {findByName, updateHost} from './update-state.js';

/** Handlers of the steps of time, stamps and membership. */
export const HOST_STEPS: StepHandlers<'tick' | 'ask' | 'askPeer' | 'receive' | 'remove'> = {
	tick: (_, state) => ({...state, now: state.now + TICK_DURATION}),
	ask: (context, state, {host}) => applyStampRequest(context, state, host, {
		askedAt: state.now, log: state.head, age: 0, isRelayed: false,
	}),
	askPeer(context, state, {host, peer: name}) {
		const peer = findByName(state.hosts, name);
		return applyStampRequest(context, state, host, {
			askedAt: state.now, log: peer.log, age: state.now - peer.verifiedAt, isRelayed: true,
		});
	},
	receive: (context, state, {host}) => applyStampResponse(context, state, findByName(state.hosts, host)),
	remove: (_, state, {host}) => ({...state, head: appendNode(state.head, {kind: 'hostRemoved', host, incarnation: host})}),
};

function applyStampRequest(context: StepContext, state: PrimacyState, name: string, answer: StampResponse): PrimacyState {
	const asked = updateHost(state, name, {answer});
	return context.scope.maxTicks === 0 ? applyStampResponse(context, asked, findByName(asked.hosts, name)) : asked;
}

/** Applies a response: takes over a newer stamp by the production rules, and any log entries that the host does not have. */
function applyStampResponse({rules}: StepContext, state: PrimacyState, host: HostModel): PrimacyState {
	const {answer} = host;
	if (!answer) {
		return state;
	}

	const current = {version: host.log.view.version, verifiedAt: host.verifiedAt};
	const offered = rules.createStamp(answer, state.now);
	const stamp = rules.decideNewerStamp(current, offered);
	const isTaken = stamp === offered;
	const log = isTaken ? answer.log : findLongerLog(host.log, answer.log);
	const updated = updateHost(state, host.name, {
		answer: undefined, log, verifiedAt: isTaken ? offered.verifiedAt : host.verifiedAt, removals: collectRemovals(host, log, state.now),
	});
	return isPrefixOf(host.log, log) ? updated : {...updated, violation: 'the view of a host never goes back'};
}

function findLongerLog(current: LogNode, offered: LogNode): LogNode {
	return offered.view.version > current.view.version ? offered : current;
}

/** Collects the host removals that a host has read, each with the time at which it was read. */
export function collectRemovals(host: HostModel, log: LogNode, now: number): HostModel['removals'] {
	const known = Object.keys(host.log.view.hosts).filter(name => log.view.hosts[name] === undefined);
	return [...host.removals, ...known.map(name => ({host: name, seenAt: now}))];
}

/** Decides whether a host has verified its stamp since the model started. */
export function isVerified(host: HostModel): boolean {
	return host.verifiedAt > BEFORE_ANY_LEASE;
}
