/** `hosts` and `status`: show the registered hosts and a summary of the fleet. */
import {command} from 'cmd-ts';
import {AdminError, type ReadStatusReply} from 'heatherpond-admin';
import type {GroupRecord, HostRecord} from 'heatherpond-core';
import {COMMON_ARGS} from '../command-args.js';
import type {CommandResult} from '../ctl-io.js';
import {formatTable} from '../format-table.js';
import {runCommand, type CtlInvocation} from '../run-command.js';
import type {CtlSession} from '../submit-changes.js';

const HOST_TIMEOUT_MS = 2000;

/** A registered host with its status; without status if it did not respond. */
type HostStatus = {readonly record: HostRecord; readonly status?: ReadStatusReply};

async function readHostStatuses({fleet, io}: CtlSession, records: readonly HostRecord[]): Promise<readonly HostStatus[]> {
	const deadline = io.clock.readNow() + HOST_TIMEOUT_MS;
	return Promise.all(records.map(async record => {
		try {
			return {record, status: await fleet.readStatusOf(record.peerAddress, deadline)};
		} catch (error) {
			if (error instanceof AdminError) {
				return {record};
			}

			throw error;
		}
	}));
}

function formatHost({record, status}: HostStatus): readonly string[] {
	const age = status?.stampAgeMs === undefined ? '-' : `${Math.round(status.stampAgeMs)} ms`;
	return [record.host, record.domain, record.peerAddress, status?.phase ?? 'no answer', status ? String(status.version) : '-', age];
}

function convertHost({record, status}: HostStatus): unknown {
	return {
		host: record.host, domain: record.domain, address: record.peerAddress, phase: status?.phase, version: status?.version, stampAgeMs: status?.stampAgeMs,
	};
}

async function readHosts(session: CtlSession): Promise<CommandResult> {
	const view = await session.fleet.readView();
	const hosts = await readHostStatuses(session, Object.values(view.hosts));
	return {
		lines: [...formatTable(['HOST', 'DOMAIN', 'ADDRESS', 'PHASE', 'VERSION', 'VERIFIED'], hosts.map(formatHost)), `version ${view.version}`],
		json: {version: view.version, hosts: hosts.map(convertHost)},
	};
}

function formatGroup({settings, primary, term, promotion, leaving}: GroupRecord): string {
	const remarks = [`${primary ?? 'no primary'} in term ${term}`, ...(promotion ? ['promotion in progress'] : []), ...(leaving.length > 0 ? [`leaving: ${leaving.join(' ')}`] : [])];
	return `group      ${settings.name}: ${remarks.join(', ')}`;
}

async function readFleetStatus(session: CtlSession): Promise<CommandResult> {
	const view = await session.fleet.readView();
	const hosts = await readHostStatuses(session, Object.values(view.hosts));
	const summary = {
		version: view.version,
		hosts: hosts.length,
		serving: hosts.filter(host => host.status?.phase === 'serving').length,
		behind: hosts.filter(host => (host.status?.version ?? 0) < view.version).map(host => host.record.host),
		contracts: Object.keys(view.contracts).length,
		keys: Object.values(view.keys).filter(record => !record.isWithdrawn).length,
		groups: Object.values(view.groups).map(group => ({
			name: group.settings.name, primary: group.primary, term: group.term, isPromoting: group.promotion !== undefined, leaving: group.leaving,
		})),
	};
	return {
		lines: [
			`version    ${summary.version}`,
			`hosts      ${summary.serving} of ${summary.hosts} serving${summary.behind.length > 0 ? `, behind: ${summary.behind.join(', ')}` : ''}`,
			`contracts  ${summary.contracts}`,
			`keys       ${summary.keys} good`,
			...Object.values(view.groups).map(formatGroup),
		],
		json: summary,
	};
}

/** Creates `hosts`. */
export function createHostsCommand(invocation: CtlInvocation) {
	return command({
		name: 'hosts',
		description: 'Lists the registered hosts with phase, version and time since they last verified it',
		args: COMMON_ARGS,
		handler: async args => runCommand(invocation, args, readHosts),
	});
}

/** Creates `status`. */
export function createStatusCommand(invocation: CtlInvocation) {
	return command({
		name: 'status', description: 'Shows a summary of the fleet', args: COMMON_ARGS, handler: async args => runCommand(invocation, args, readFleetStatus),
	});
}
