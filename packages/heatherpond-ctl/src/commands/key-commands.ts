/** `key`: commands to give, withdraw and list keys. A key is shown only once, when it is created; the change log contains only its hash. */
import {createHash} from 'node:crypto';
import {
	command, option, optional, positional, string, subcommands,
} from 'cmd-ts';
import {
	decodeLogEntry, nameSchema, type FleetView,
} from 'heatherpond-core';
import {
	CHANGE_ARGS, COMMON_ARGS, createSubmitOptions, type ChangeArgs,
} from '../command-args.js';
import {CtlError, EXIT} from '../ctl-error.js';
import type {CommandResult} from '../ctl-io.js';
import {formatTable} from '../format-table.js';
import {runCommand, type CtlInvocation} from '../run-command.js';
import {submitChanges, type CtlSession} from '../submit-changes.js';

type GiveArgs = ChangeArgs & {readonly team: string; readonly keyId?: string};

/** Finds an unused key id of the form `team-number`. */
function findFreeKeyId(view: FleetView, team: string): string {
	const used = new Set(Object.values(view.keys).map(record => record.keyId));
	const count = Object.values(view.keys).filter(record => record.team === team).length;
	const numbers = Array.from({length: used.size + 1}, (_value, index) => count + index + 1);
	return `${team}-${numbers.find(candidate => !used.has(`${team}-${candidate}`))}`;
}

function checkName(what: string, value: string): string {
	const result = nameSchema.safeParse(value);
	if (!result.success) {
		throw new CtlError(`${what} "${value}" cannot be used: ${result.error.issues[0]!.message}`, {props: {exitCode: EXIT.badInput}});
	}

	return value;
}

/** Creates a key. When an operation id is repeated, the key of the first run cannot be shown again, because only its hash is stored. */
async function submitNewKey(session: CtlSession, args: GiveArgs): Promise<CommandResult> {
	const {io, fleet} = session;
	const team = checkName('the team', args.team);
	const view = await fleet.readView();
	const keyId = checkName('the key id', args.keyId ?? findFreeKeyId(view, team));
	const key = io.createKey();
	const keyHash = createHash('sha256').update(key).digest('hex');
	const options = createSubmitOptions(session, args, view.version);
	const result = await submitChanges(session, [{
		kind: 'keyGiven', team, keyId, keyHash,
	}], options);
	if (result.exitCode === EXIT.conflict) {
		return result;
	}

	const given = await readAcceptedKey(session, result);
	if (given.keyHash !== keyHash) {
		return {
			lines: [`accepted at version ${given.version}: key ${given.keyId} was given by the earlier run of this command; its key cannot be shown again`],
			json: {accepted: [{kind: 'keyGiven', subject: `key ${given.keyId}`, version: given.version}], keyId: given.keyId},
		};
	}

	return {
		...result,
		lines: [...result.lines, `key id: ${keyId}`, `key:    ${key}`, 'the key is not stored anywhere and cannot be shown again'],
		json: {...(result.json as object), keyId, key},
	};
}

/** Key as recorded in the log, with the version of its entry. */
type GivenKey = {readonly keyId: string; readonly keyHash: string; readonly version: number};

/** Reads the log entry that created the key; for a repeated operation id, this is the entry of the first run. */
async function readAcceptedKey({fleet}: CtlSession, result: CommandResult): Promise<GivenKey> {
	const [{version}] = (result.json as {readonly accepted: readonly [{readonly version: number}]}).accepted;
	const reply = await fleet.call(async (connection, options) => connection.readHistory({subject: '', after: version - 1}, options));
	const change = reply.entries.map(text => decodeLogEntry(text).change).at(0);
	if (change?.kind !== 'keyGiven') {
		throw new CtlError(`the operation id belongs to another command, accepted at version ${version}`, {props: {exitCode: EXIT.badInput}});
	}

	return {keyId: change.keyId, keyHash: change.keyHash, version};
}

async function submitWithdrawal(session: CtlSession, args: ChangeArgs & {readonly keyId: string}): Promise<CommandResult> {
	const view = await session.fleet.readView();
	return submitChanges(session, [{kind: 'keyWithdrawn', keyId: checkName('the key id', args.keyId)}], createSubmitOptions(session, args, view.version));
}

async function readKeys({fleet}: CtlSession, {team}: {readonly team?: string}): Promise<CommandResult> {
	const view = await fleet.readView();
	const keys = Object.values(view.keys)
		.filter(record => team === undefined || record.team === team)
		.toSorted((left, right) => left.keyId < right.keyId ? -1 : 1);
	const rows = keys.map(record => [record.keyId, record.team, record.isWithdrawn ? 'withdrawn' : (view.contracts[record.team] ? 'good' : 'without contract')]);
	return {
		lines: [...formatTable(['KEY', 'TEAM', 'STATE'], rows), `version ${view.version}`],
		json: {version: view.version, keys: rows.map(([keyId, keyTeam, state]) => ({keyId, team: keyTeam, state}))},
	};
}

/** Creates the subcommands of `key`. */
export function createKeyCommands(invocation: CtlInvocation) {
	return subcommands({
		name: 'key',
		description: 'Manages the keys of teams',
		cmds: {
			give: command({
				name: 'give',
				description: 'Creates a key for a team and shows it once',
				args: {
					...CHANGE_ARGS,
					team: positional({type: string, displayName: 'TEAM', description: 'team of the key'}),
					keyId: option({type: optional(string), long: 'key-id', description: 'id of the key; default: the team and a number'}),
				},
				handler: async args => runCommand(invocation, args, submitNewKey),
			}),
			withdraw: command({
				name: 'withdraw',
				description: 'Withdraws a key; connections that authenticated with it are closed',
				args: {...CHANGE_ARGS, keyId: positional({type: string, displayName: 'KEY-ID', description: 'id of the key'})},
				handler: async args => runCommand(invocation, args, submitWithdrawal),
			}),
			list: command({
				name: 'list',
				description: 'Lists key ids with team and state; the keys themselves are not stored',
				args: {...COMMON_ARGS, team: option({type: optional(string), long: 'team', description: 'only keys of this team'})},
				handler: async args => runCommand(invocation, args, readKeys),
			}),
		},
	});
}
