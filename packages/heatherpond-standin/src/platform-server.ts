/** In-memory stand-in for the platform, served over gRPC: table service, object store and host list. */
import {Buffer} from 'node:buffer';
import {
	Server, ServerCredentials, status, type handleUnaryCall, type sendUnaryData, type ServerUnaryCall,
} from '@grpc/grpc-js';
import type {Clock} from 'heatherpond-core';
import {
	DOMAIN_METADATA_KEY, PlatformService, type Host, type PlatformServer,
} from 'heatherpond-changelog';
import {createPlatformFaults, type PlatformCall, type PlatformFaults} from './platform-faults.js';
import {createPlatformTable} from './platform-table.js';

/** A running platform stand-in. */
export type PlatformStandin = {
	/** `address:port` that hosts connect to. */
	readonly address: string;
	readonly faults: PlatformFaults;
	/** Contents of the object store, by object name. */
	readonly objects: Map<string, Buffer>;
	/** Returns the number of requests received since the start, including those that a fault dropped. */
	readonly countCalls: () => number;
};

/** Options of a platform stand-in. */
export type PlatformStandinOptions = {
	/** `address:port` to listen on; port 0 selects a free port. */
	readonly listen: string;
	readonly clock: Clock;
	/** Milliseconds after which a reported host becomes visible in the host list. */
	readonly hostListLagMs: number;
	/** Milliseconds for which a report stays in the host list. Default: without limit. */
	readonly hostListTtlMs?: number;
	readonly signal: AbortSignal;
};

/** A host report and the instant from which on the host list contains it. */
type PublishedReport = {readonly host: Host; readonly visibleAt: number};

/** Maximum size of a request. */
const MAX_MESSAGE_BYTES = 67_108_864;

/** Starts the stand-in; it stops when the signal aborts. */
export async function startPlatformStandin(options: PlatformStandinOptions): Promise<PlatformStandin> {
	const faults = createPlatformFaults();
	const table = createPlatformTable();
	const objects = new Map<string, Buffer>();
	let reports: PublishedReport[] = [];
	let calls = 0;

	/** Creates the handler of a method; with a fault in place it never responds, or only after the injected delay. */
	function createHandler<Request, Reply>(call: PlatformCall, serve: (request: Request) => Reply): handleUnaryCall<Request, Reply> {
		return (request: ServerUnaryCall<Request, Reply>, reply: sendUnaryData<Reply>) => {
			calls++;
			const domain = String(request.metadata.get(DOMAIN_METADATA_KEY).at(0) ?? '');
			if (faults.isDown || faults.partitionedDomains.has(domain)) {
				return;
			}

			options.clock.registerTimer(options.clock.readNow() + faults.delayMs, () => {
				handleCall(call, () => serve(request.request), reply);
			});
		};
	}

	function handleCall<Reply>(call: PlatformCall, serve: () => Reply, reply: sendUnaryData<Reply>): void {
		if (faults.isDown) {
			return;
		}

		const response = serve();
		const remainingLosses = faults.lostResponses.get(call) ?? 0;
		if (remainingLosses > 0) {
			faults.lostResponses.set(call, remainingLosses - 1);
			reply({code: status.UNAVAILABLE, details: 'injected fault: the response was lost after the request took effect'});
			return;
		}

		reply(null, response);
	}

	/** Returns the last visible report of each host that has not expired. */
	function readVisibleHosts(): Host[] {
		const now = options.clock.readNow();
		const oldest = now - (options.hostListTtlMs ?? Number.POSITIVE_INFINITY);
		const visible = reports.filter(report => report.visibleAt <= now && report.visibleAt > oldest);
		return [...new Map(visible.map(report => [report.host.host, report.host])).values()];
	}

	const implementation: PlatformServer = {
		commit: createHandler('commit', request => ({committed: table.commit(request)})),
		scan: createHandler('scan', request => table.scan(request)),
		putObject: createHandler('putObject', request => {
			objects.set(request.name, request.content);
			return {};
		}),
		getObject: createHandler('getObject', request => {
			const content = objects.get(request.name);
			return {found: content !== undefined, content: content ?? Buffer.alloc(0)};
		}),
		listHosts: createHandler('listHosts', () => ({hosts: readVisibleHosts()})),
		reportHost: createHandler('reportHost', request => {
			if (request.host) {
				const {host} = request;
				const now = options.clock.readNow();
				const replaced = new Set(reports.filter(report => report.host.host === host.host && report.visibleAt <= now).slice(0, -1));
				reports = [...reports.filter(report => !replaced.has(report)), {host, visibleAt: now + options.hostListLagMs}];
			}

			return {};
		}),
	};
	const server = new Server({'grpc.max_receive_message_length': MAX_MESSAGE_BYTES});
	server.addService(PlatformService, implementation);
	const address = await startListening(server, options.listen);
	options.signal.addEventListener('abort', () => {
		server.forceShutdown();
	}, {once: true});
	return {
		address, faults, objects, countCalls: () => calls,
	};
}

/** Binds the server and returns its address with the actual port. */
async function startListening(server: Server, listen: string): Promise<string> {
	const host = listen.slice(0, listen.lastIndexOf(':'));
	const port = await new Promise<number>((resolve, reject) => {
		server.bindAsync(listen, ServerCredentials.createInsecure(), (error, boundPort) => {
			if (error) {
				reject(error);
			} else {
				resolve(boundPort);
			}
		});
	});
	return `${host}:${port}`;
}
