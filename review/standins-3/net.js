/* eslint-disable no-restricted-syntax -- fields are spelled as on the wire */
/** Small helpers of the stand-ins: waiting, listening, free ports, and lines of the wire. */
import {createServer} from 'node:net';

/** Waits so many milliseconds. */
export async function waitFor(milliseconds) {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitUntil(isMet, timeoutMs) {
	const end = Date.now() + timeoutMs;
	while (!await isMet()) {
		if (Date.now() > end) {
			return false;
		}

		await waitFor(20);
	}

	return true;
}

/** Starts a server on a free port of an address, or on the given one; resolves to the port. */
export async function listen(server, address, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, address, resolve);
	});
	return server.address().port;
}

/** Finds ports that are free on all of the addresses. */
export async function findFreePorts(addresses, count) {
	const found = [];
	while (found.length < count) {
		const probe = createServer();
		const port = await listen(probe, addresses[0]);
		const others = addresses.slice(1).map(() => createServer());
		const results = await Promise.allSettled(others.map((server, index) => listen(server, addresses[index + 1], port)));
		await Promise.all([probe, ...others].filter(server => server.listening).map(server => new Promise(resolve => {
			server.close(resolve);
		})));
		if (results.every(({status}) => status === 'fulfilled') && !found.includes(port)) {
			found.push(port);
		}
	}

	return found;
}

/** Calls a listener with each line that arrives on a socket. */
export function registerLines(socket, listener) {
	let rest = '';
	socket.on('data', chunk => {
		const lines = (rest + chunk.toString('latin1')).split('\r\n');
		rest = lines.pop();
		for (const line of lines) {
			listener(line);
		}
	});
}
