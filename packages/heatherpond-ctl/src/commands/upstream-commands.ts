/** `upstream`: commands to take databases out of service and to return them. */
import {
	command, positional, string, subcommands,
} from 'cmd-ts';
import {CHANGE_ARGS, createSubmitOptions, type ChangeArgs} from '../command-args.js';
import type {CommandResult} from '../ctl-io.js';
import {runCommand, type CtlInvocation} from '../run-command.js';
import {submitChanges, type CtlSession} from '../submit-changes.js';

type UpstreamArgs = ChangeArgs & {readonly group: string; readonly database: string};

const UPSTREAM_ARGS = {
	...CHANGE_ARGS,
	group: positional({type: string, displayName: 'GROUP', description: 'group of the database'}),
	database: positional({type: string, displayName: 'DATABASE', description: 'name of the database'}),
};

async function submitUpstream(kind: 'upstreamLeft' | 'upstreamReturned', session: CtlSession, args: UpstreamArgs): Promise<CommandResult> {
	const view = await session.fleet.readView();
	return submitChanges(session, [{kind, group: args.group, database: args.database}], createSubmitOptions(session, args, view.version));
}

/** Creates the subcommands of `upstream`. */
export function createUpstreamCommands(invocation: CtlInvocation) {
	return subcommands({
		name: 'upstream',
		description: 'Takes databases out of service and returns them',
		cmds: {
			leave: command({
				name: 'leave',
				description: 'Takes a database out of service; statements that it is running are completed',
				args: UPSTREAM_ARGS,
				handler: async args => runCommand(invocation, args, async (session, commandArgs) => submitUpstream('upstreamLeft', session, commandArgs)),
			}),
			return: command({
				name: 'return',
				description: 'Returns a database to service',
				args: UPSTREAM_ARGS,
				handler: async args => runCommand(invocation, args, async (session, commandArgs) => submitUpstream('upstreamReturned', session, commandArgs)),
			}),
		},
	});
}
