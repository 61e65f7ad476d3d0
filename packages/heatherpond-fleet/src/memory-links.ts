/** In-memory links between hosts. Messages arrive in order after a fixed latency; a link can drop messages or close, and one that is too long closes it. */
import type {FakeClock} from 'heatherpond-core';
import {MAX_LINK_TEXT_LENGTH, type HostLink, type HostLinkPort} from './host-links.js';

/** One-way latency of a message, in milliseconds. */
export const LINK_LATENCY_MS = 2;

/** The links of all hosts, with faults by host address. */
export type MemoryLinks = {
	/** Creates the link port of the host with this address. */
	readonly createPort: (address: string) => HostLinkPort;
	/** Drops all messages to and from a host from now on, while its links stay open. */
	readonly silence: (address: string) => void;
	/** Ends the effect of `silence`. */
	readonly restore: (address: string) => void;
	/** Stops a host: what arrives at it, the closing of links included, waits in order until `wake`. */
	readonly hold: (address: string) => void;
	/** Lets a host go on with all that has arrived, one thing after the other. */
	readonly wake: (address: string) => Promise<void>;
	/** Closes all links of a host and refuses new ones to it. */
	readonly close: (address: string) => void;
	/** Counts the messages sent to a host, dropped ones included. */
	readonly countSentTo: (address: string) => number;
};

/** One of the two ends of a link. */
type End = {readonly link: HostLink; readonly deliver: (text: string) => void; readonly handleClose: () => void};

/** Creates the links; messages are delivered by the timers of the clock. */
export function createMemoryLinks(clock: FakeClock): MemoryLinks {
	const servers = new Map<string, (link: HostLink) => void>();
	const silent = new Set<string>();
	const closed = new Set<string>();
	/** By stopped host: what it handles when it goes on. */
	const held = new Map<string, Array<() => void>>();
	const sentTo = new Map<string, number>();
	const openLinks: Array<{readonly addresses: readonly string[]; readonly close: () => void}> = [];

	/** Lets a host handle what has arrived, at once or when it goes on. */
	function handleAt(address: string, handle: () => void): void {
		const waiting = held.get(address);
		if (waiting) {
			waiting.push(handle);
		} else {
			handle();
		}
	}

	function isLost(addresses: readonly string[]): boolean {
		return addresses.some(address => silent.has(address));
	}

	function createEnd(addresses: readonly string[], findOther: () => End | undefined, close: () => void, target: string): End {
		let listener: (text: string) => void = () => undefined;
		let closeListeners: Array<() => void> = [];
		let isClosed = false;
		return {
			deliver(text) {
				if (!isClosed) {
					listener(text);
				}
			},
			handleClose() {
				isClosed = true;
				const listeners = closeListeners;
				closeListeners = [];
				listeners.forEach(handleClose => {
					handleClose();
				});
			},
			link: {
				send(text) {
					sentTo.set(target, (sentTo.get(target) ?? 0) + 1);
					const other = findOther();
					if (!isClosed && !isLost(addresses)) {
						clock.registerTimer(clock.readNow() + LINK_LATENCY_MS, () => {
							handleAt(target, () => {
								if (text.length > MAX_LINK_TEXT_LENGTH) {
									close();
								} else {
									other?.deliver(text);
								}
							});
						});
					}
				},
				registerListener(next) {
					listener = next;
				},
				registerCloseListener(handleClose) {
					closeListeners.push(handleClose);
				},
				destroy: close,
			},
		};
	}

	function openLink(from: string, to: string): HostLink {
		const addresses = [from, to];
		let ends: readonly End[] = [];
		function close(): void {
			const both = ends;
			ends = [];
			both.forEach((end, index) => {
				handleAt(addresses[index]!, end.handleClose);
			});
		}

		const near: End = createEnd(addresses, () => ends[1], close, to);
		const far: End = createEnd(addresses, () => ends[0], close, from);
		ends = [near, far];
		openLinks.push({addresses, close});
		const serve = servers.get(to);
		if (!serve || closed.has(to)) {
			clock.registerTimer(clock.readNow() + LINK_LATENCY_MS, close);
		} else {
			serve(far.link);
		}

		return near.link;
	}

	return {
		createPort: address => ({
			connect: target => openLink(address, target),
			registerServer(handleLink) {
				servers.set(address, handleLink);
			},
		}),
		silence(address) {
			silent.add(address);
		},
		restore(address) {
			silent.delete(address);
		},
		hold(address) {
			held.set(address, []);
		},
		async wake(address) {
			const waiting = held.get(address) ?? [];
			held.delete(address);
			for (const handle of waiting) {
				handle();
				await new Promise<void>(resolve => {
					setImmediate(resolve);
				});
			}
		},
		close(address) {
			closed.add(address);
			openLinks.filter(({addresses}) => addresses.includes(address)).forEach(({close}) => {
				close();
			});
		},
		countSentTo: address => sentTo.get(address) ?? 0,
	};
}
