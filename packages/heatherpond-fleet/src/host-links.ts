/** Port to the connections between hosts; each carries texts in both directions, in order. */

/** An open or opening connection to another host. */
export type HostLink = {
	/** Sends a text; one that is sent while the link opens is sent as soon as it is open. */
	readonly send: (text: string) => void;
	readonly registerListener: (listener: (text: string) => void) => void;
	/** Calls the listener once, when the link has closed or could not be opened. */
	readonly registerCloseListener: (listener: () => void) => void;
	readonly destroy: () => void;
};

/** Opens links and takes those of other hosts. */
export type HostLinkPort = {
	readonly connect: (address: string, port: number) => HostLink;
	readonly registerServer: (handleLink: (link: HostLink) => void) => void;
};
