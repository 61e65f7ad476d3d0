/** The command line tool `heatherpondctl`, independent of the process that runs it. */
import {runSafely, subcommands} from 'cmd-ts';
import {createContractCommands} from './commands/contract-commands.js';
import {createHostsCommand, createStatusCommand} from './commands/fleet-commands.js';
import {createGroupCommands} from './commands/group-commands.js';
import {createKeyCommands} from './commands/key-commands.js';
import {createCheckSettingsCommand} from './check-settings-command.js';
import {createExplainCommand} from './explain-command.js';
import {createPlacementCommand} from './placement-command.js';
import {createTimelineCommand} from './timeline-command.js';
import {createTopCommand} from './top-command.js';
import {createUpstreamCommands} from './commands/upstream-commands.js';
import {EXIT} from './ctl-error.js';
import type {CtlIo} from './ctl-io.js';
import type {CtlInvocation} from './run-command.js';

function createCtl(invocation: CtlInvocation) {
	return subcommands({
		name: 'heatherpondctl',
		description: 'Manages a fleet of heatherpond hosts',
		cmds: {
			contract: createContractCommands(invocation),
			key: createKeyCommands(invocation),
			upstream: createUpstreamCommands(invocation),
			group: createGroupCommands(invocation),
			hosts: createHostsCommand(invocation),
			status: createStatusCommand(invocation),
			timeline: createTimelineCommand(invocation),
			top: createTopCommand(invocation),
			explain: createExplainCommand(invocation),
			placement: createPlacementCommand(invocation),
			'check-settings': createCheckSettingsCommand(invocation),
		},
	});
}

/** Parses the arguments, runs the command and returns the exit code. */
export async function executeCtl(args: readonly string[], io: CtlIo): Promise<number> {
	const invocation: CtlInvocation = {io, exitCode: EXIT.done};
	const result = await runSafely(createCtl(invocation), [...args]);
	if (result._tag === 'ok') {
		return invocation.exitCode;
	}

	const {exitCode, message, into} = result.error.config;
	const writeLine = into === 'stdout' ? io.writeOutput : io.writeError;
	writeLine(message);
	return exitCode === 0 ? EXIT.done : EXIT.badInput;
}
