/** Client of the line protocol: a session is one connection, and sends one request at a time. */
import {createConnection} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

let statementCount = 0;

/** Creates a statement id that no other statement has. */
export function createStatementId() {
	statementCount++;
	return `${process.pid.toString(16)}${statementCount.toString(16).padStart(10, '0')}`;
}

/** Connects and sends STARTUP; the session has a `refusal` when it was answered with an error. */
export async function openSession({host, port, database, key}) {
	const socket = createConnection({host, port, noDelay: true});
	const session = {
		socket, isClosed: false, refusal: undefined, state: 'I',
		async query(text, id = createStatementId()) {
			return {id, ...await exchange(`QUERY ${id} ${text}\r\n`)};
		},
		close() {
			socket.destroy();
		},
	};
	let rest = [];
	let lines = [];
	let pending;

	function endPending(answer) {
		const current = pending;
		pending = undefined;
		current?.(answer);
	}

	async function exchange(text) {
		const sentAt = performance.now();
		return new Promise(resolve => {
			if (session.isClosed) {
				resolve({kind: 'closed', sentAt});
				return;
			}

			pending = answer => {
				resolve({...answer, sentAt, elapsedMs: performance.now() - sentAt});
			};

			socket.write(text, 'latin1');
		});
	}

	function handleLine(line) {
		const [word, first = '', ...more] = line.split(' ');
		if (word === 'READY') {
			const body = lines.find(other => other.startsWith('COMPLETE') || other.startsWith('ERROR'));
			const [kind, code] = (body ?? 'COMPLETE -').split(' ');
			session.state = first;
			endPending({
				kind: kind === 'ERROR' ? 'error' : 'success', code, rows: lines.filter(other => other.startsWith('DATAROW ')).map(other => other.slice(8)), state: first, position: more[0], text: body,
			});
			lines = [];
		} else {
			lines.push(line);
			if (word === 'ERROR' && session.isStarting) {
				endPending({kind: 'error', code: first, text: line});
			}
		}
	}

	socket.on('data', chunk => {
		const all = [...rest, chunk.toString('latin1')].join('').split('\r\n');
		rest = [all.pop()];
		all.forEach(handleLine);
	});
	socket.on('error', () => {
		socket.destroy();
	});
	socket.on('close', () => {
		session.isClosed = true;
		endPending({kind: 'closed'});
	});
	session.isStarting = true;
	const answer = await exchange(`STARTUP ${database} ${key}\r\n`);
	session.isStarting = false;
	if (answer.kind !== 'success') {
		session.refusal = answer.code ?? 'closed';
		socket.destroy();
	}

	return session;
}
