/** Port to the connections between hosts. Each link carries text messages in both directions, in order. */

/**
 * Maximum length of a message, in characters; a longer one closes the link. A statement and its response are at most 1 MiB each, of
 * which JSON writes every byte in six characters at the worst.
 */
export const MAX_LINK_TEXT_LENGTH = 8_388_608;

/** A connection to another host, which may still be opening. */
export type HostLink = {
	/** Sends a message, which is queued until the link is open. */
	readonly send: (text: string) => void;
	/** Sets the listener for received messages, in place of any earlier one. */
	readonly registerListener: (listener: (text: string) => void) => void;
	/** Registers a listener that is called once, when the link has closed or could not be opened. */
	readonly registerCloseListener: (listener: () => void) => void;
	/** Closes the link at once. */
	readonly destroy: () => void;
};

/** Opens links to other hosts and accepts theirs. */
export type HostLinkPort = {
	readonly connect: (address: string, port: number) => HostLink;
	/** Sets the handler for links that other hosts open, in place of any earlier one. */
	readonly registerServer: (handleLink: (link: HostLink) => void) => void;
};
