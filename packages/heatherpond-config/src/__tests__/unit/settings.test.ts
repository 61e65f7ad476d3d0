import {readFile} from 'node:fs/promises';
import {describe, expect, test} from '@jest/globals';
import {ctlSettingsSchema} from '../../ctl-settings.js';
import {proxySettingsSchema} from '../../proxy-settings.js';
import {groupStandinSettingsSchema, platformStandinSettingsSchema} from '../../standin-settings.js';
import {parseSettings, readSettingsFile} from '../../settings-file.js';

const EXAMPLES = new URL('../../../examples/', import.meta.url);

async function readExample(name: string): Promise<string> {
	return readFile(new URL(name, EXAMPLES), 'utf8');
}

describe('example settings files', () => {
	test.each([
		['heatherpond-proxy.toml', proxySettingsSchema],
		['heatherpondctl.toml', ctlSettingsSchema],
		['standin-platform.toml', platformStandinSettingsSchema],
		['standin-group.toml', groupStandinSettingsSchema],
	])('%s matches its schema', async (name, schema) => {
		expect(parseSettings(name, await readExample(name), schema)).toBeDefined();
	});
});

describe('validation errors of settings files', () => {
	test.each([
		['a value of the wrong type', 'host = "jhb-a-1"', 'host = 7', 'p.toml: host has the value 7: Invalid input: expected string'],
		['an unsupported value', 'logLevel = "info"', 'logLevel = "loud"', 'p.toml: logLevel has the value "loud": Invalid option: expected one of "trace"|"debug"|"info"|"warn"|"error"|"silent"'],
		['a malformed address', 'listen = "127.0.0.1:6432"', 'listen = "here"', 'p.toml: listen has the value "here": allowed: an IP address and a port'],
		['an invalid name', 'domain = "jhb-a"', 'domain = "-"', 'p.toml: domain has the value "-": a name has 1 to 63 letters'],
		['a missing required key', 'deployment = "kringloop"', '', 'p.toml: deployment has no value: Invalid input: expected string'],
		['an unknown key', 'deployment = "kringloop"', 'deployment = "kringloop"\ndepoyment = "x"', 'p.toml: depoyment has the value "x": allowed keys: deployment, host, domain'],
		['an unknown key in a table', 'drainTimeoutMs = 10000', 'drainMs = 10000', 'p.toml: limits.drainMs has the value 10000: allowed keys: maxFrameBytes'],
		['a number out of range', 'drainTimeoutMs = 10000', 'drainTimeoutMs = -1', 'p.toml: limits.drainTimeoutMs has the value -1: Too small: expected number to be >=0'],
		['a missing token hash', 'peerListen = "127.0.0.1:6433"', 'peerListen = "10.0.0.1:6433"', 'p.toml: operatorTokenHash has no value: required unless peerListen is a loopback address'],
		['invalid TOML syntax', 'host = "jhb-a-1"', 'host', 'p.toml: the file is not valid TOML'],
	])('%s is reported with file, key path, value and allowed values', async (_name, from, to, message) => {
		const text = await readExample('heatherpond-proxy.toml');
		expect(text).toContain(from);
		expect(() => parseSettings('p.toml', text.replace(from, to), proxySettingsSchema)).toThrow(message);
	});

	test('all invalid settings are reported, not only the first', async () => {
		const text = await readExample('heatherpond-proxy.toml');
		const invalidText = text.replace('host = "jhb-a-1"', 'host = 7').replace('domain = "jhb-a"', 'domain = 8');
		expect(() => parseSettings('p.toml', invalidText, proxySettingsSchema)).toThrow(/host has the value 7.*\n.*domain has the value 8/v);
	});

	test('a missing file is reported with its path', async () => {
		await expect(readSettingsFile('/nowhere/p.toml', proxySettingsSchema)).rejects.toThrow('/nowhere/p.toml: the file cannot be read');
	});
});
