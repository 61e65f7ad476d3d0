/** Starts listening on a TCP port. */
import type {ListenOptions, Server} from 'node:net';

/**
 * Starts listening.
 *
 * @param handleAcceptError - called with each error of the server once it listens, such as a connection that cannot be accepted
 * because the process has no descriptor left; it concerns that connection only
 * @throws Error when the address cannot be bound
 */
export async function startListening(server: Server, options: ListenOptions, handleAcceptError: (error: Error) => void): Promise<void> {
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(options, () => {
			server.off('error', reject);
			resolve();
		});
	});
	// A server without a listener for its errors ends the process with the first one.
	server.on('error', handleAcceptError);
}
