/** Command line arguments that several commands share. */
import {userInfo} from 'node:os';
import {
	array, flag, multioption, number, option, optional, string,
} from 'cmd-ts';
import type {CtlSession, SubmitOptions} from './submit-changes.js';

/** Environment variable with the addresses of hosts, separated by commas. */
export const HOSTS_VARIABLE = 'HEATHERPOND_HOSTS';
/** Environment variable with the path of the settings file. */
export const SETTINGS_VARIABLE = 'HEATHERPOND_SETTINGS';
/** Environment variable with the operator token. */
export const TOKEN_VARIABLE = 'HEATHERPOND_TOKEN';

const DEFAULT_TIMEOUT_SECONDS = 20;
const DEFAULT_WAIT_SECONDS = 15;

/** Arguments of every command that calls hosts. */
export const COMMON_ARGS = {
	host: multioption({type: array(string), long: 'host', description: `address:port of a host; repeat to name further hosts, which are tried in order (or ${HOSTS_VARIABLE}, separated by commas)`}),
	settings: option({type: optional(string), long: 'settings', description: `TOML file with hosts, token file, author and TLS settings (or ${SETTINGS_VARIABLE})`}),
	tokenFile: option({type: optional(string), long: 'token-file', description: `file that contains the operator token (or ${TOKEN_VARIABLE})`}),
	timeout: option({
		type: number, long: 'timeout', description: 'seconds until the command times out', defaultValue: () => DEFAULT_TIMEOUT_SECONDS,
	}),
	json: flag({long: 'json', description: 'print the result as JSON'}),
};

export type CommonArgs = {readonly host: readonly string[]; readonly settings?: string; readonly tokenFile?: string; readonly timeout: number; readonly json: boolean};

/** Arguments of every command that submits changes. */
export const CHANGE_ARGS = {
	...COMMON_ARGS,
	author: option({type: optional(string), long: 'author', description: 'author to record with the change; default: name of the user'}),
	basedOn: option({type: optional(number), long: 'based-on', description: 'version that the change is based on; default: the current version'}),
	operationId: option({type: optional(string), long: 'operation-id', description: 'repeats an earlier command whose outcome is unknown; the change takes effect only once'}),
	wait: flag({long: 'wait', description: 'wait until the change is in force on every host'}),
	waitSeconds: option({
		type: number, long: 'wait-seconds', description: 'maximum time to wait, in seconds', defaultValue: () => DEFAULT_WAIT_SECONDS,
	}),
};

export type ChangeArgs = CommonArgs & {
	readonly author?: string;
	readonly basedOn?: number;
	readonly operationId?: string;
	readonly wait: boolean;
	readonly waitSeconds: number;
};

/** Creates the options of a submission from the arguments and defaults; `version` is the current version. */
export function createSubmitOptions({io, author: settingsAuthor}: CtlSession, args: ChangeArgs, version: number): SubmitOptions {
	return {
		author: args.author ?? settingsAuthor ?? userInfo().username,
		basedOn: args.basedOn ?? version,
		operationId: args.operationId ?? io.createId(),
		wait: args.wait,
		waitSeconds: args.waitSeconds,
	};
}
