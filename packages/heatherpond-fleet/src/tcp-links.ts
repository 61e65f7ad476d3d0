/** Links between hosts over TCP; each message is one line of text. */
import {createConnection, createServer, type Socket} from 'node:net';
import {StringDecoder} from 'node:string_decoder';
import {startListening} from 'heatherpond-core';
import type {WriteEvent} from 'heatherpond-session';
import {MAX_LINK_TEXT_LENGTH, type HostLink, type HostLinkPort} from './host-links.js';

/** Settings of the listener. */
export type TcpLinksOptions = {
	readonly address: string;
	readonly port: number;
	readonly writeEvent: WriteEvent;
	/** Closes the listener and all links on abort. */
	readonly signal: AbortSignal;
};

/** Starts to listen for links; resolves when the port is open. */
export async function startTcpLinks({address, port, writeEvent, signal}: TcpLinksOptions): Promise<HostLinkPort> {
	let handleLink: (link: HostLink) => void = link => {
		link.destroy();
	};

	const server = createServer({noDelay: true}, socket => {
		handleLink(createLink(socket, signal));
	});
	await startListening(server, {host: address, port, signal}, ({message}) => {
		writeEvent('links_failed', {reason: message});
	});
	return {
		connect: (host, remotePort) => createLink(createConnection({host, port: remotePort, noDelay: true}), signal),
		registerServer(handler) {
			handleLink = handler;
		},
	};
}

function createLink(socket: Socket, signal: AbortSignal): HostLink {
	const decoder = new StringDecoder('utf8');
	let listener: (text: string) => void = () => undefined;
	let closeListeners: Array<() => void> = [];
	let partial = '';

	function destroy(): void {
		socket.destroy();
	}

	socket.on('data', chunk => {
		const lines = (partial + decoder.write(chunk)).split('\n');
		partial = lines.pop()!;
		if (partial.length > MAX_LINK_TEXT_LENGTH) {
			destroy();
			return;
		}

		lines.forEach(line => {
			listener(line);
		});
	});
	// The close event follows and notifies the close listeners.
	socket.on('error', destroy);
	socket.on('close', () => {
		signal.removeEventListener('abort', destroy);
		const listeners = closeListeners;
		closeListeners = [];
		listeners.forEach(handleClose => {
			handleClose();
		});
	});
	signal.addEventListener('abort', destroy, {once: true});
	return {
		send(text) {
			socket.write(`${text}\n`);
		},
		registerListener(next) {
			listener = next;
		},
		registerCloseListener(handleClose) {
			if (socket.destroyed) {
				handleClose();
			} else {
				closeListeners.push(handleClose);
			}
		},
		destroy,
	};
}
