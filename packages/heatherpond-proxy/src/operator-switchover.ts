/** Switchovers requested by operators. */
import {status} from '@grpc/grpc-js';
import {formatDatabaseKey, type HostBlackboard, type LogPosition} from 'heatherpond-core';
import type {RequestSwitchover} from './admin-service.js';
import type {PromotionController} from './controllers/promotion-controller.js';
import {AdminCallError} from './proxy-error.js';

/**
 * Creates the handler of switchover requests.
 *
 * @param readStart - returns the function that starts a switchover, or `undefined` while the host is starting
 */
export function createRequestSwitchover(blackboard: HostBlackboard, readStart: () => PromotionController['startSwitchover'] | undefined): RequestSwitchover {
	return async ({group, candidate}) => {
		const startSwitchover = readStart();
		if (!startSwitchover) {
			throw new AdminCallError('the host is starting', {props: {grpcStatus: status.UNAVAILABLE}});
		}

		const outcome = await startSwitchover(group, candidate === '' ? findCandidate(blackboard, group) : candidate);
		if (outcome.kind === 'abandoned') {
			throw new AdminCallError(`switchover of group "${group}" failed, its primary was not changed: ${outcome.reason}`, {props: {grpcStatus: status.FAILED_PRECONDITION}});
		}

		return {primary: outcome.primary, term: outcome.term};
	};
}

/** Selects the replica with the highest log position that is not draining. */
function findCandidate(blackboard: HostBlackboard, name: string): string {
	const {view, databases} = blackboard.read();
	const group = view.groups[name];
	const replicas = (group?.settings.members ?? []).filter(member => member.name !== group?.primary && !group?.leaving.includes(member.name));
	const known = replicas
		.map(member => ({name: member.name, last: databases[formatDatabaseKey(name, member.name)]?.status?.last}))
		.filter(item => item.last !== undefined)
		.toSorted((left, right) => compareProgress(right.last!, left.last!));
	if (!known[0]) {
		throw new AdminCallError(`group "${name}" does not exist or none of its replicas responds`, {props: {grpcStatus: status.FAILED_PRECONDITION}});
	}

	return known[0].name;
}

function compareProgress(left: LogPosition, right: LogPosition): number {
	return left.term - right.term || Number(left.position - right.position);
}
