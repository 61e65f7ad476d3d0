/** The operators' command line, apart from the process that runs it. */
import {runSafely, subcommands} from 'cmd-ts';
import {createContractCommands} from './commands/contract-commands.js';
import {createHostsCommand, createStatusCommand} from './commands/fleet-commands.js';
import {createGroupCommands} from './commands/group-commands.js';
import {createKeyCommands} from './commands/key-commands.js';
import {createCheckSettingsCommand} from './check-settings-command.js';
import {createExplainCommand} from './explain-command.js';
import {createTimelineCommand} from './timeline-command.js';
import {createTopCommand} from './top-command.js';
import {createUpstreamCommands} from './commands/upstream-commands.js';
import {EXIT} from './ctl-error.js';
import type {CtlIo} from './ctl-io.js';
import type {CtlRun} from './run-command.js';

function createCtl(ctl: CtlRun) {
	return subcommands({
		name: 'heatherpondctl',
		description: 'Operates a fleet of heatherpond hosts',
		cmds: {
			contract: createContractCommands(ctl),
			key: createKeyCommands(ctl),
			upstream: createUpstreamCommands(ctl),
			group: createGroupCommands(ctl),
			hosts: createHostsCommand(ctl),
			status: createStatusCommand(ctl),
			timeline: createTimelineCommand(ctl),
			top: createTopCommand(ctl),
			explain: createExplainCommand(ctl),
			'check-settings': createCheckSettingsCommand(ctl),
		},
	});
}

/** Runs one command line and returns the exit code. */
export async function executeCtl(args: readonly string[], io: CtlIo): Promise<number> {
	const ctl: CtlRun = {io, exitCode: EXIT.done};
	const result = await runSafely(createCtl(ctl), [...args]);
	if (result._tag === 'ok') {
		return ctl.exitCode;
	}

	const {exitCode, message, into} = result.error.config;
	const writeLine = into === 'stdout' ? io.writeOutput : io.writeError;
	writeLine(message);
	return exitCode === 0 ? EXIT.done : EXIT.badInput;
}
