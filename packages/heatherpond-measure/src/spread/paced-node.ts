/** A node that serves parts of an object over gRPC with limited uplink bandwidth. */
import type {Buffer} from 'node:buffer';
import {
	ChannelCredentials, Metadata, Server, ServerCredentials, status, type sendUnaryData, type ServerUnaryCall,
} from '@grpc/grpc-js';
import {waitUntil, type Clock, type Instant} from 'heatherpond-core';
import {
	PlatformClient, PlatformService, type GetObjectReply, type GetObjectRequest, type PlatformServer,
} from 'heatherpond-changelog';
import {MeasureError} from '../measure-error.js';

/** A node and the parts that it stores. */
export type PacedNode = {
	readonly address: string;
	/** Stores a part on the node, which makes it available to others. */
	readonly writePart: (index: number, content: Buffer) => void;
	readonly countParts: () => number;
	/** Resolves with a part as soon as the node stores it. */
	readonly waitForPart: (index: number) => Promise<Buffer>;
	/** Fetches a part from the node at `address` and stores it. */
	readonly fetchPart: (address: string, index: number) => Promise<void>;
	/** Returns the number of bytes served so far. */
	readonly countServedBytes: () => number;
};

/** Options of a node. `bytesPerSecond` is its uplink bandwidth. */
export type PacedNodeOptions = {
	readonly bytesPerSecond: number;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

const LOOPBACK = '127.0.0.1';
const MAX_MESSAGE_BYTES = 67_108_864;
const CALL_TIMEOUT_MS = 60_000;

/** Starts a node on a free loopback port. It stops when the signal aborts. */
export async function startPacedNode({bytesPerSecond, clock, signal}: PacedNodeOptions): Promise<PacedNode> {
	const parts = new Map<number, Buffer>();
	const waiters = new Map<number, Array<(content: Buffer) => void>>();
	const clients = new Map<string, PlatformClient>();
	let uplinkFreeAt: Instant = clock.readNow();
	let servedBytes = 0;

	function writePart(index: number, content: Buffer): void {
		parts.set(index, content);
		waiters.get(index)?.forEach(resolve => {
			resolve(content);
		});
		waiters.delete(index);
	}

	async function waitForPart(index: number): Promise<Buffer> {
		const known = parts.get(index);
		return known ?? new Promise<Buffer>(resolve => {
			waiters.set(index, [...waiters.get(index) ?? [], resolve]);
		});
	}

	async function handleGet(call: ServerUnaryCall<GetObjectRequest, GetObjectReply>, reply: sendUnaryData<GetObjectReply>): Promise<void> {
		const content = await waitForPart(Number(call.request.name));
		uplinkFreeAt = Math.max(uplinkFreeAt, clock.readNow()) + (content.length / bytesPerSecond * 1000);
		await waitUntil(clock, uplinkFreeAt, signal);
		servedBytes += content.length;
		reply(null, {found: true, content});
	}

	function openClient(address: string): PlatformClient {
		const known = clients.get(address);
		const client = known ?? new PlatformClient(address, ChannelCredentials.createInsecure(), {'grpc.max_receive_message_length': MAX_MESSAGE_BYTES});
		clients.set(address, client);
		return client;
	}

	async function fetchPart(address: string, index: number): Promise<void> {
		const client = openClient(address);
		const content = await new Promise<Buffer>((resolve, reject) => {
			client.getObject({name: String(index)}, new Metadata(), {deadline: Date.now() + CALL_TIMEOUT_MS}, (error, reply) => {
				if (error) {
					reject(new MeasureError(`could not fetch part ${index}`, {cause: error}));
				} else {
					resolve(reply.content);
				}
			});
		});
		writePart(index, content);
	}

	const address = await startServer((call, reply) => {
		void handleGet(call, reply);
	}, signal);
	signal.addEventListener('abort', () => {
		clients.forEach(client => {
			client.close();
		});
	}, {once: true});
	return {
		address, writePart, waitForPart, fetchPart, countParts: () => parts.size, countServedBytes: () => servedBytes,
	};
}

async function startServer(getObject: PlatformServer['getObject'], signal: AbortSignal): Promise<string> {
	const server = new Server();
	function refuse(_call: unknown, reply: (error: {readonly code: status}) => void): void {
		reply({code: status.UNIMPLEMENTED});
	}

	server.addService(PlatformService, {
		getObject, commit: refuse, scan: refuse, putObject: refuse, listHosts: refuse, reportHost: refuse,
	});
	const port = await new Promise<number>((resolve, reject) => {
		server.bindAsync(`${LOOPBACK}:0`, ServerCredentials.createInsecure(), (error, bound) => {
			if (error) {
				reject(error);
			} else {
				resolve(bound);
			}
		});
	});
	signal.addEventListener('abort', () => {
		server.forceShutdown();
	}, {once: true});
	return `${LOOPBACK}:${port}`;
}
