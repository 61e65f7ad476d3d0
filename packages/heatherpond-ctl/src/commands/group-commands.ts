/** `group`: commands to list database groups and to switch over their primaries. */
import {
	command, option, positional, string, subcommands,
} from 'cmd-ts';
import type {GroupRecord} from 'heatherpond-core';
import {COMMON_ARGS} from '../command-args.js';
import type {CommandResult} from '../ctl-io.js';
import {formatTable} from '../format-table.js';
import {runCommand, type CtlInvocation} from '../run-command.js';
import type {CtlSession} from '../submit-changes.js';

function formatMembers(group: GroupRecord): ReadonlyArray<readonly string[]> {
	return group.settings.members.map(member => [
		group.settings.name,
		member.name,
		group.primary === member.name ? 'primary' : 'replica',
		group.leaving.includes(member.name) ? 'leaving' : 'in use',
		String(group.term),
		member.domain,
		`${member.host}:${member.port}`,
	]);
}

function convertGroup(group: GroupRecord): unknown {
	return {
		name: group.settings.name, term: group.term, primary: group.primary, leaving: group.leaving, members: group.settings.members, promotion: group.promotion,
	};
}

async function readGroups({fleet}: CtlSession): Promise<CommandResult> {
	const view = await fleet.readView();
	const groups = Object.values(view.groups);
	return {
		lines: [...formatTable(['GROUP', 'DATABASE', 'ROLE', 'STATE', 'TERM', 'DOMAIN', 'ADDRESS'], groups.flatMap(formatMembers)), `version ${view.version}`],
		json: {version: view.version, groups: groups.map(convertGroup)},
	};
}

async function submitSwitchover({fleet}: CtlSession, {group, to}: {readonly group: string; readonly to: string}): Promise<CommandResult> {
	const reply = await fleet.call(async (connection, options) => connection.requestSwitchover({group, candidate: to}, options));
	return {lines: [`${reply.primary} is primary of ${group} in term ${reply.term}`], json: {group, primary: reply.primary, term: reply.term}};
}

/** Creates the subcommands of `group`. */
export function createGroupCommands(invocation: CtlInvocation) {
	return subcommands({
		name: 'group',
		description: 'Lists database groups and switches over their primaries',
		cmds: {
			list: command({
				name: 'list', description: 'Lists the databases of all groups', args: COMMON_ARGS, handler: async args => runCommand(invocation, args, readGroups),
			}),
			switchover: command({
				name: 'switchover',
				description: 'Drains the primary of a group and promotes another database',
				args: {
					...COMMON_ARGS,
					group: positional({type: string, displayName: 'GROUP', description: 'name of the group'}),
					to: option({
						type: string, long: 'to', description: 'database to promote; default: the most up-to-date one', defaultValue: () => '',
					}),
				},
				handler: async args => runCommand(invocation, args, submitSwitchover),
			}),
		},
	});
}
