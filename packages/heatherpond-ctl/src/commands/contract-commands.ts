/** `contract`: commands to apply, show, list and remove contracts, and to show their history. */
import {
	command, positional, string, subcommands,
} from 'cmd-ts';
import {decodeLogEntry, type Contract} from 'heatherpond-core';
import {findApplyChanges, parseApplyFile} from '../apply-file.js';
import {
	CHANGE_ARGS, COMMON_ARGS, createSubmitOptions, type ChangeArgs,
} from '../command-args.js';
import {CtlError, EXIT} from '../ctl-error.js';
import type {CommandResult} from '../ctl-io.js';
import {formatTable} from '../format-table.js';
import {runCommand, type CtlInvocation} from '../run-command.js';
import {
	convertEntry, formatEntry, submitChanges, type CtlSession,
} from '../submit-changes.js';

type TeamArgs = {readonly team: string};

const TEAM = positional({type: string, displayName: 'TEAM', description: 'team of the contract'});

async function applyFile(session: CtlSession, args: ChangeArgs & {readonly file: string}): Promise<CommandResult> {
	const text = await session.io.readFile(args.file).catch((error: unknown) => {
		throw new CtlError(`${args.file}: the file cannot be read`, {cause: error, props: {exitCode: EXIT.badInput}});
	});
	const file = parseApplyFile(args.file, text);
	const view = await session.fleet.readView();
	return submitChanges(session, findApplyChanges(view, file), {...createSubmitOptions(session, args, view.version), isBatch: true});
}

async function submitRemoval(session: CtlSession, args: ChangeArgs & TeamArgs): Promise<CommandResult> {
	const view = await session.fleet.readView();
	return submitChanges(session, [{kind: 'contractRemoved', team: args.team}], createSubmitOptions(session, args, view.version));
}

async function readContract({fleet}: CtlSession, {team}: TeamArgs): Promise<CommandResult> {
	const {contracts, version} = await fleet.readView();
	const contract = contracts[team];
	if (!contract) {
		throw new CtlError(`team "${team}" has no contract; contracts exist for: ${Object.keys(contracts).toSorted().join(', ')}`, {props: {exitCode: EXIT.refused}});
	}

	const settings = Object.entries(contract).map(([name, value]) => `${name} = ${JSON.stringify(value)}`);
	return {lines: [`# at version ${version}`, '[[contract]]', ...settings], json: {version, contract}};
}

function formatContract(contract: Contract): readonly string[] {
	return [contract.team, String(contract.rate), String(contract.burst), String(contract.weight), contract.durability, contract.routes.join(' ')];
}

async function readContracts({fleet}: CtlSession): Promise<CommandResult> {
	const view = await fleet.readView();
	const contracts = Object.values(view.contracts).toSorted((left, right) => left.team < right.team ? -1 : 1);
	return {
		lines: [...formatTable(['TEAM', 'RATE', 'BURST', 'WEIGHT', 'DURABILITY', 'ROUTES'], contracts.map(formatContract)), `version ${view.version}`],
		json: {version: view.version, contracts},
	};
}

async function readContractHistory({fleet}: CtlSession, {team}: TeamArgs): Promise<CommandResult> {
	const reply = await fleet.call(async (connection, options) => connection.readHistory({subject: `team ${team}`, after: 0}, options));
	const entries = reply.entries.map(text => decodeLogEntry(text));
	return {lines: entries.map(formatEntry), json: {entries: entries.map(convertEntry)}};
}

/** Creates the subcommands of `contract`. */
export function createContractCommands(invocation: CtlInvocation) {
	return subcommands({
		name: 'contract',
		description: 'Manages contracts',
		cmds: {
			apply: command({
				name: 'apply',
				description: 'Applies the contracts, routes and groups of a TOML file; unchanged ones are skipped',
				args: {...CHANGE_ARGS, file: positional({type: string, displayName: 'FILE', description: 'TOML file with [[contract]], [[route]] and [[group]]'})},
				handler: async args => runCommand(invocation, args, applyFile),
			}),
			show: command({
				name: 'show', description: 'Shows the contract of a team, as TOML', args: {...COMMON_ARGS, team: TEAM}, handler: async args => runCommand(invocation, args, readContract),
			}),
			list: command({
				name: 'list', description: 'Lists all contracts', args: COMMON_ARGS, handler: async args => runCommand(invocation, args, readContracts),
			}),
			remove: command({
				name: 'remove',
				description: 'Removes the contract of a team; its keys become permanently invalid',
				args: {...CHANGE_ARGS, team: TEAM},
				handler: async args => runCommand(invocation, args, submitRemoval),
			}),
			history: command({
				name: 'history',
				description: 'Lists the changes to the contract of a team with author and time',
				args: {...COMMON_ARGS, team: TEAM},
				handler: async args => runCommand(invocation, args, readContractHistory),
			}),
		},
	});
}
