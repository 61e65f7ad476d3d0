/** Stand-in of a client: one session, one statement at a time, as PROTOCOL.md tells it. */
import {connect} from 'node:net';
import {randomBytes} from 'node:crypto';

/** Creates the id of a statement. */
export const createId = () => randomBytes(8).toString('hex');

/** Opens a session; rejects when it is not accepted within 2 s. The answer to a statement is undefined when the connection ends without one. */
export async function openSession({address, database, key}) {
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port), noDelay: true});
	let rest = '';
	let lines = [];
	let pending;
	let isClosed = false;

	function endPending(answer) {
		const resolve = pending;
		pending = undefined;
		resolve?.(answer);
	}

	socket.on('data', chunk => {
		const received = `${rest}${chunk.toString('latin1')}`.split('\r\n');
		rest = received.pop();
		received.forEach(line => {
			lines.push(line);
			if (line.startsWith('READY ')) {
				const answer = {lines, state: line.split(' ')[1]};
				lines = [];
				endPending(answer);
			}
		});
	});
	socket.on('error', () => undefined);
	socket.once('close', () => {
		isClosed = true;
		endPending(undefined);
	});

	function send(text) {
		return new Promise(resolve => {
			if (isClosed || socket.writableEnded) {
				resolve(undefined);
				return;
			}

			pending = resolve;
			socket.write(`${text}\r\n`, 'latin1');
		});
	}

	const timer = setTimeout(() => {
		socket.destroy();
	}, 2000);
	const ready = await send(`STARTUP ${database} ${key}`);
	clearTimeout(timer);
	if (!ready) {
		throw new Error('session was not accepted');
	}

	return {
		/** Sends a statement; resolves to its answer with its outcome, or to undefined. */
		async query(text, id = createId()) {
			const answer = await send(`QUERY ${id} ${text}`);
			const outcome = answer?.lines.at(-2)?.split(' ') ?? [];
			return answer && {
				id, lines: answer.lines, state: answer.state, isServed: outcome[0] === 'COMPLETE', code: outcome[0] === 'ERROR' ? outcome[1] : undefined, row: answer.lines.find(line => line.startsWith('DATAROW '))?.slice(8),
			};
		},
		isClosed: () => isClosed || socket.readableEnded,
		close() {
			socket.end('TERMINATE\r\n');
		},
		destroy() {
			socket.destroy();
		},
	};
}
