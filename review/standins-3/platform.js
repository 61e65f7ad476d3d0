
/** Stand-in of the platform's failover call. */
import {createServer} from 'node:http';
import {listen} from './net.js';

/** Starts it; `promote` is called with the service and the database, and `handleCall` with each call that has arrived. */
export async function startPlatform({address, promote, handleCall}) {
	const server = createServer((request, response) => {
		let text = '';
		request.on('data', chunk => {
			text += chunk;
		});
		request.on('end', () => {
			const {backend, id} = JSON.parse(text);
			handleCall({
				at: Date.now(), holder: request.headers['lease-holder'], fence: Number(request.headers['fencing-token']), backend, id,
			});
			promote(backend, id);
			response.writeHead(200, {'content-type': 'application/json'});
			response.end('{}');
		});
	});
	const port = await listen(server, address);
	return {
		address: `${address}:${port}`,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
