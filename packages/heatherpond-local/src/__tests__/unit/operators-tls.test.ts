import {createHash} from 'node:crypto';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterAll, beforeAll, expect, test,
} from '@jest/globals';
import {proxySettingsSchema} from 'heatherpond-config';
import {createSystemClock} from 'heatherpond-core';
import {executeCtl, EXIT} from 'heatherpond-ctl';
import {createLogger} from 'heatherpond-observe';
import {startProxyHost, type ProxyHost} from 'heatherpond-proxy';
import {startPlatformStandin} from 'heatherpond-standin';
import selfsigned from 'selfsigned';

const clock = createSystemClock();
const stop = new AbortController();
let folder: string;
let host: ProxyHost;

/** Writes a self-signed certificate, which is its own authority, and its key. */
async function writeCertificate(name: string): Promise<void> {
	const pems = selfsigned.generate([{name: 'commonName', value: name}], {
		keySize: 2048, algorithm: 'sha256', extensions: [{name: 'basicConstraints', cA: true}, {name: 'subjectAltName', altNames: [{type: 2, value: name}]}],
	});
	await writeFile(path.join(folder, `${name}.pem`), pems.cert);
	await writeFile(path.join(folder, `${name}-key.pem`), pems.private);
}

beforeAll(async () => {
	folder = await mkdtemp(path.join(tmpdir(), 'heatherpond-'));
	await Promise.all(['kringloop', 'stranger'].map(async name => writeCertificate(name)));
	await writeFile(path.join(folder, 'token'), 'secret\n');
	await writeFile(path.join(folder, 'wrong'), 'guess\n');
	const platform = await startPlatformStandin({
		listen: '127.0.0.1:0', clock, hostListLagMs: 0, signal: stop.signal,
	});
	const file = path.join(folder, 'kringloop.pem');
	host = await startProxyHost({
		settings: proxySettingsSchema.parse({
			deployment: 'kringloop',
			host: 'jhb-a-1',
			domain: 'jhb-a',
			listen: '127.0.0.1:0',
			peerListen: '127.0.0.1:0',
			platform: platform.address,
			operatorTokenHash: createHash('sha256').update('secret').digest('hex'),
			peerTls: {certificateFile: file, keyFile: path.join(folder, 'kringloop-key.pem'), authorityFile: file},
			database: {user: 'a', password: 'a'},
			control: {user: 'b', password: 'b'},
		}),
		clock,
		logger: createLogger({host: 'jhb-a-1', domain: 'jhb-a', level: 'silent'}),
		signal: stop.signal,
	});
});

afterAll(async () => {
	stop.abort();
	await rm(folder, {recursive: true});
});

/** Runs `heatherpondctl status` with the given settings file. */
async function readStatus(settings: string): Promise<{readonly exitCode: number; readonly text: string}> {
	const lines: string[] = [];
	function write(line: string): void {
		lines.push(line);
	}

	const exitCode = await executeCtl(['status', '--settings', 'ctl.toml', '--timeout', '1'], {
		env: {},
		readFile: async name => name === 'ctl.toml' ? settings : readFile(name, 'utf8'),
		readUrl: async () => '',
		writeOutput: write,
		writeError: write,
		clock,
		createId: () => 'id',
		createKey: () => 'key',
		signal: stop.signal,
	});
	return {exitCode, text: lines.join('\n')};
}

/** Formats operator settings with the certificate of `owner` and the token file `token`. */
function formatSettings(owner: string, token = 'token'): string {
	return [
		`hosts = ["${host.identity.peerAddress}"]`,
		`tokenFile = "${path.join(folder, token)}"`,
		'[tls]',
		'deployment = "kringloop"',
		`certificateFile = "${path.join(folder, `${owner}.pem`)}"`,
		`keyFile = "${path.join(folder, `${owner}-key.pem`)}"`,
		`authorityFile = "${path.join(folder, 'kringloop.pem')}"`,
	].join('\n');
}

test('heatherpondctl with a trusted certificate and the operator token reads the status', async () => {
	expect(await readStatus(formatSettings('kringloop'))).toMatchObject({exitCode: EXIT.done, text: expect.stringContaining('1 of 1 serving')});
});

test('heatherpondctl with a certificate of an untrusted authority cannot connect', async () => {
	expect(await readStatus(formatSettings('stranger'))).toMatchObject({exitCode: EXIT.unavailable});
});

test('heatherpondctl without TLS cannot connect to a host that requires it', async () => {
	expect(await readStatus(`hosts = ["${host.identity.peerAddress}"]`)).toMatchObject({exitCode: EXIT.unavailable});
});

test('heatherpondctl with a wrong operator token is refused', async () => {
	expect(await readStatus(formatSettings('kringloop', 'wrong'))).toMatchObject({exitCode: EXIT.refused, text: expect.stringContaining('token is wrong')});
});

test('a token file without a token is reported as bad input, and its content is not printed', async () => {
	const result = await readStatus(formatSettings('kringloop', 'kringloop.pem'));
	expect(result).toMatchObject({exitCode: EXIT.badInput, text: expect.stringContaining('holds no token')});
	expect(result.text).not.toContain('BEGIN CERTIFICATE');
});

test('a missing token file is reported as bad input', async () => {
	expect(await readStatus(formatSettings('kringloop', 'nowhere'))).toMatchObject({exitCode: EXIT.badInput, text: expect.stringContaining('nowhere: the file cannot be read')});
});
