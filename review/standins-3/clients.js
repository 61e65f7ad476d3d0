
/** Stand-in of a client: one session, which sends statements one after the other. */
import {createConnection} from 'node:net';
import {randomBytes} from 'node:crypto';
import {registerLines} from './net.js';

/** Time within which a client expects READY after STARTUP, in milliseconds. */
const STARTUP_TIMEOUT_MS = 2000;

/** Opens a session; resolves to nothing when it is refused or not answered. */
export async function openClient({host, database, key}) {
	const socket = createConnection({host: host.ip, port: host.clientPort, noDelay: true});
	let pending;
	let lines = [];
	let isClosed = false;

	function end(result) {
		const resolve = pending;
		pending = undefined;
		lines = [];
		resolve?.(result);
	}

	registerLines(socket, line => {
		const [word, state] = line.split(' ');
		lines.push(line);
		if (word === 'READY') {
			end({lines: lines.slice(0, -1), state});
		} else if (word === 'ERROR' && pending?.isStartup) {
			end({lines, state: 'closed'});
		}
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('close', () => {
		isClosed = true;
		end({lines: [...lines], state: 'closed'});
	});

	async function exchange(text, timeoutMs, isStartup = false) {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				end({lines: ['(no answer)'], state: 'silent'});
			}, timeoutMs);
			pending = result => {
				clearTimeout(timer);
				resolve(result);
			};

			pending.isStartup = isStartup;
			if (isClosed) {
				end({lines: [], state: 'closed'});
			} else {
				socket.write(`${text}\r\n`, 'latin1');
			}
		});
	}

	const {state} = await exchange(`STARTUP ${database} ${key}`, STARTUP_TIMEOUT_MS, true);
	if (state !== 'I') {
		socket.destroy();
		return undefined;
	}

	return {
		async query(text, timeoutMs = 4000) {
			const id = randomBytes(8).toString('hex');
			const sentAt = Date.now();
			const {lines: answered, state: next} = await exchange(`QUERY ${id} ${text}`, timeoutMs);
			const last = answered.at(-1) ?? '';
			return {
				id, text, sentAt, endedAt: Date.now(), lines: answered, state: next, isServed: last.startsWith('COMPLETE'), code: last.startsWith('ERROR') ? last.split(' ')[1] : '', last,
			};
		},
		destroy() {
			socket.destroy();
		},
		isClosed: () => isClosed,
	};
}
