import {createServer, type AddressInfo} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {startTcpLinks, type HostLink, type HostLinkPort} from '../../index.js';

/** Size of the largest message that a client may send, in bytes. */
const MAX_MESSAGE_BYTES = 1_048_576;
let lifetime: AbortController;
let port: number;
let links: HostLinkPort;

beforeEach(async () => {
	lifetime = new AbortController();
	const probe = createServer();
	await new Promise<void>(resolve => {
		probe.listen({host: '127.0.0.1', port: 0}, resolve);
	});
	({port} = probe.address() as AddressInfo);
	await new Promise(resolve => {
		probe.close(resolve);
	});
	links = await startTcpLinks({
		address: '127.0.0.1', port, writeEvent: () => undefined, signal: lifetime.signal,
	});
});

afterEach(() => {
	lifetime.abort();
});

/** Sends a text and resolves to what arrives, or to nothing when the link closes. */
async function sendText(text: string): Promise<string | undefined> {
	return new Promise(resolve => {
		links.registerServer((link: HostLink) => {
			link.registerListener(resolve);
		});
		const link = links.connect('127.0.0.1', port);
		link.registerListener(() => undefined);
		link.registerCloseListener(() => {
			resolve(undefined);
		});
		link.send(text);
	});
}

// Guards against a link that one client's statement closes for all, because JSON writes each of its bytes in six characters.
test.each(['\u0000', '\n', '"', '\\', '\u00FF'])('the largest message of the character %j arrives over a link', async character => {
	const text = JSON.stringify({kind: 'first-step', text: character.repeat(MAX_MESSAGE_BYTES)});
	const received = await sendText(text);
	expect(received?.length).toBe(text.length);
	expect(received === text).toBe(true);
});
