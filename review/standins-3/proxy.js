/* eslint-disable no-restricted-syntax -- fields are spelled as on the wire */
/**
 * A path to a server that can be cut: while it is, nothing passes in either direction. Bytes that were held up are delivered when
 * the cut heals, and then the end of the connection, unless their sender has reset the connection.
 */
import {createConnection, createServer} from 'node:net';
import {listen} from './net.js';

/** Starts a path to `target`; `handleData` is called with what a sender has sent, before it is passed on. */
export async function startPath({address, target, handleData = () => undefined, record = () => undefined}) {
	const [host, port] = target.split(':');
	const held = new Set();
	let isCut = false;

	/** Passes the bytes of one direction on, and its end. */
	function connectDirection(from, to, watch) {
		const direction = {
			chunks: [], hasEnded: false, isReset: false,
			pass() {
				if (isCut) {
					held.add(direction);
					return;
				}

				if (direction.isReset) {
					to.destroy();
					return;
				}

				for (const chunk of direction.chunks.splice(0)) {
					to.write(chunk);
				}

				if (direction.hasEnded) {
					to.end();
				}
			},
		};
		from.on('data', chunk => {
			watch(chunk);
			direction.chunks.push(chunk);
			direction.pass();
		});
		from.on('end', () => {
			direction.hasEnded = true;
			if (isCut) {
				record(`a sender has closed its connection while ${direction.chunks.reduce((sum, {length}) => sum + length, 0)} of its bytes are held up`);
			}

			direction.pass();
		});
		from.on('error', ({code}) => {
			direction.isReset = true;
			direction.chunks = [];
			if (isCut) {
				record(`a sender has reset its connection (${code}); what was held up is lost`);
			}

			direction.pass();
		});
	}

	const server = createServer({allowHalfOpen: true}, near => {
		const far = createConnection({
			host, port: Number(port), allowHalfOpen: true, noDelay: true,
		});
		near.setNoDelay(true);
		connectDirection(near, far, handleData);
		connectDirection(far, near, () => undefined);
	});
	const ownPort = await listen(server, address);
	return {
		address: `${address}:${ownPort}`,
		cut() {
			isCut = true;
		},
		heal() {
			isCut = false;
			for (const direction of held) {
				direction.pass();
			}

			held.clear();
		},
		close() {
			server.close();
		},
	};
}
