/** A TCP relay that can drop all traffic of its open connections without closing them, as a stateful firewall does that has lost them. */
import {once} from 'node:events';
import {
	createConnection, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** A running TCP relay. */
export type TcpRelay = {
	/** `address:port` that it listens on. */
	readonly address: string;
	/** Drops all further traffic of the connections that are open now; new connections work. */
	readonly dropTraffic: () => void;
	/** Returns the number of connections accepted so far. */
	readonly countOpened: () => number;
};

/** Options of a TCP relay. */
export type TcpRelayOptions = {
	readonly address: string;
	readonly targetPort: number;
	readonly signal: AbortSignal;
};

/** Starts a relay on a free port; it stops when the signal aborts. */
export async function startTcpRelay({address, targetPort, signal}: TcpRelayOptions): Promise<TcpRelay> {
	const connections = new Set<readonly [Socket, Socket]>();
	let opened = 0;

	/** Forwards the bytes of one direction; the other socket is closed with this one. */
	function forwardBytes(from: Socket, to: Socket): void {
		from.pipe(to);
		from.on('error', () => {
			to.destroy();
		});
		from.on('close', () => {
			to.destroy();
		});
	}

	const server = createServer(socket => {
		opened++;
		const target = createConnection({host: address, port: targetPort});
		connections.add([socket, target]);
		forwardBytes(socket, target);
		forwardBytes(target, socket);
	});
	server.listen(0, address);
	await once(server, 'listening');
	signal.addEventListener('abort', () => {
		server.close();
		connections.forEach(([socket, target]) => {
			socket.destroy();
			target.destroy();
		});
	}, {once: true});
	return {
		address: `${address}:${(server.address() as AddressInfo).port}`,
		countOpened: () => opened,
		dropTraffic() {
			connections.forEach(([socket, target]) => {
				[socket, target].forEach(end => {
					end.unpipe();
					end.resume();
				});
			});
		},
	};
}
