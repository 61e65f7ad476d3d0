/**
 * Network between one machine and the platform that can be cut. What is under way when the cut begins, or is sent during it, is held
 * back, and arrives after the cut as TCP delivers it: in order, also when its sender has closed its socket meanwhile. What the
 * sender has reset is lost. A connection that is opened during the cut carries nothing, and is reset when the cut ends.
 */
import {connect, createServer} from 'node:net';

/** Starts a proxy to `readTarget()`, which passes everything on until it is cut. */
export async function startLink({host, readTarget}) {
	let isCut = false;
	const heldBack = [];
	const sockets = new Set();

	/** Sends something on now, or after the cut. */
	function send(action) {
		if (isCut) {
			heldBack.push(action);
		} else {
			action();
		}
	}

	function forward(from, to) {
		let isReset = false;
		from.on('data', chunk => {
			send(() => {
				if (!isReset && !to.destroyed) {
					to.write(chunk);
				}
			});
		});
		from.on('end', () => {
			send(() => {
				if (!isReset && !to.destroyed) {
					to.end();
				}
			});
		});
		from.on('error', () => {
			isReset = true;
			send(() => {
				to.destroy();
			});
		});
	}

	const server = createServer({allowHalfOpen: true, noDelay: true}, machine => {
		if (isCut) {
			machine.on('error', () => undefined);
			machine.resume();
			heldBack.push(() => {
				machine.resetAndDestroy();
			});
			return;
		}

		const [targetHost, targetPort] = readTarget().split(':');
		const target = connect({
			host: targetHost, port: Number(targetPort), noDelay: true, allowHalfOpen: true,
		});
		[machine, target].forEach(socket => {
			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
		});
		forward(machine, target);
		forward(target, machine);
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen({host, port: 0}, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		cut() {
			isCut = true;
		},
		heal() {
			isCut = false;
			heldBack.splice(0).forEach(action => {
				action();
			});
		},
		stop() {
			server.close();
			sockets.forEach(socket => {
				socket.destroy();
			});
		},
	};
}
