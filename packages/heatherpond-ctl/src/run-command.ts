/** Runs a command: connects to the fleet, prints the result as text or JSON, and sets the exit code. */
import type {AdminTls} from 'heatherpond-admin';
import {
	ctlSettingsSchema, parseSettings, SettingsError, type CtlSettings,
} from 'heatherpond-config';
import {
	HOSTS_VARIABLE, SETTINGS_VARIABLE, TOKEN_VARIABLE, type CommonArgs,
} from './command-args.js';
import {CtlError, EXIT, formatError} from './ctl-error.js';
import type {CommandResult, CtlIo} from './ctl-io.js';
import {openFleet} from './fleet-client.js';
import type {CtlSession} from './submit-changes.js';

/** One invocation of the tool; the command that runs sets the exit code. */
export type CtlInvocation = {readonly io: CtlIo; exitCode: number};

/** Runs a command with a connection to the fleet and prints its result. */
export async function runCommand<Args extends CommonArgs>(invocation: CtlInvocation, args: Args, execute: (session: CtlSession, args: Args) => Promise<CommandResult>): Promise<void> {
	await runAndWriteResult(invocation, args, async () => runWithFleet(invocation.io, args, execute));
}

/** Runs a command, prints its result or error, and sets the exit code. */
export async function runAndWriteResult(invocation: CtlInvocation, args: {readonly json: boolean}, execute: () => Promise<CommandResult>): Promise<void> {
	const {io} = invocation;
	try {
		const result = await execute();
		invocation.exitCode = result.exitCode ?? EXIT.done;
		if (args.json) {
			io.writeOutput(JSON.stringify(result.json));
		} else {
			result.lines.forEach(io.writeOutput);
		}
	} catch (error) {
		invocation.exitCode = error instanceof SettingsError ? EXIT.badInput : (error instanceof CtlError ? error.exitCode : EXIT.failed);
		io.writeError(formatError(error));
	}
}

/** Runs a command with a connection to the fleet, which closes when the command ends. */
export async function runWithFleet<Args extends CommonArgs>(io: CtlIo, args: Args, execute: (session: CtlSession, args: Args) => Promise<CommandResult>): Promise<CommandResult> {
	const settings = await readSettings(io, args);
	const fleet = openFleet({
		addresses: findAddresses(io, args, settings),
		token: await readToken(io, args, settings),
		tls: await readTls(io, settings.tls),
		clock: io.clock,
		deadline: io.clock.readNow() + (args.timeout * 1000),
		signal: io.signal,
	});
	try {
		return await execute({io, fleet, author: settings.author}, args);
	} finally {
		fleet.close();
	}
}

async function readSettings(io: CtlIo, args: CommonArgs): Promise<CtlSettings> {
	const path = args.settings ?? io.env[SETTINGS_VARIABLE];
	return path === undefined ? ctlSettingsSchema.parse({}) : parseSettings(path, await readText(io, path), ctlSettingsSchema);
}

function findAddresses(io: CtlIo, args: CommonArgs, settings: CtlSettings): readonly string[] {
	const fromEnvironment = (io.env[HOSTS_VARIABLE] ?? '').split(',').map(address => address.trim()).filter(address => address !== '');
	const addresses = [args.host, fromEnvironment, settings.hosts].find(list => list.length > 0);
	if (!addresses) {
		throw new CtlError(`no host is given; use --host ADDRESS, ${HOSTS_VARIABLE} or --settings FILE`, {props: {exitCode: EXIT.badInput}});
	}

	return addresses;
}

/** Format of a token. Other characters cannot be sent as gRPC metadata, and show that a file does not contain a token. */
const TOKEN_PATTERN = /^[\u0021-\u007E]{1,200}$/v;

async function readToken(io: CtlIo, args: CommonArgs, settings: CtlSettings): Promise<string | undefined> {
	const path = args.tokenFile ?? (io.env[TOKEN_VARIABLE] === undefined ? settings.tokenFile : undefined);
	const text = path === undefined ? undefined : await readText(io, path);
	const token = text === undefined ? io.env[TOKEN_VARIABLE] : text.trim();
	if (token !== undefined && !TOKEN_PATTERN.test(token)) {
		throw new CtlError(`${path ?? TOKEN_VARIABLE} holds no token; allowed: 1 to 200 printable ASCII characters without spaces`, {props: {exitCode: EXIT.badInput}});
	}

	return token;
}

async function readTls(io: CtlIo, tls: CtlSettings['tls']): Promise<AdminTls | undefined> {
	if (!tls) {
		return undefined;
	}

	const [certificate, key, authority] = await Promise.all([tls.certificateFile, tls.keyFile, tls.authorityFile].map(async path => readText(io, path)));
	return {
		deployment: tls.deployment, certificate: certificate!, key: key!, authority: authority!,
	};
}

async function readText(io: CtlIo, path: string): Promise<string> {
	return io.readFile(path).catch((error: unknown) => {
		throw new CtlError(`${path}: the file cannot be read`, {cause: error, props: {exitCode: EXIT.badInput}});
	});
}
