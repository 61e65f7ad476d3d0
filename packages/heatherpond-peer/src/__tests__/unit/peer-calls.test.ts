import {Server} from '@grpc/grpc-js';
import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {
	createSystemClock, EMPTY_FLEET_VIEW, type LogEntry, type PeerPort, type StampRequest,
} from 'heatherpond-core';
import {startTcpRelay, type TcpRelay} from 'heatherpond-standin';
import selfsigned from 'selfsigned';
import {
	createPeerServerCredentials, createPeerService, openPeerClient, PeerService, type PeerTls,
} from '../../index.js';

const ENTRY: LogEntry = {
	version: 4,
	operationId: 'promotion-1',
	author: 'jhb-a-2',
	writtenAt: '2026-01-01T00:00:00.000Z',
	change: {
		kind: 'promotionEnded', group: 'sponsorship-jhb', term: 2, primary: 'jhb-a', start: 9_007_199_254_740_993n,
	},
};
const clock = createSystemClock();
const viewCodec = {encode: JSON.stringify, decode: (text: string) => JSON.parse(text) as typeof EMPTY_FLEET_VIEW};
const question: StampRequest = {
	host: 'jhb-a-1', incarnation: 'one', domain: 'jhb-a', version: 3, ledgerVersion: 2, peerAddress: '127.0.0.1:1',
};

let stop: AbortController;

beforeEach(() => {
	stop = new AbortController();
});

afterEach(() => {
	stop.abort();
});

async function startServer(deployment: string, tls?: PeerTls): Promise<string> {
	const server = new Server();
	server.addService(PeerService, createPeerService({
		deployment,
		viewCodec,
		handlers: {
			handleStampRequest: request => ({
				host: 'jhb-a-2', incarnation: 'two', version: request.version + 1, ageMs: 7, entries: [ENTRY], ledgerVersion: request.ledgerVersion,
			}),
			handleViewRequest: () => EMPTY_FLEET_VIEW,
			handleAllotmentRequest: request => ({loans: request.asks.map(ask => ({...ask, tokens: 1.5, leaseMs: 100})), renewed: []}),
		},
	}));
	const port = await new Promise<number>((resolve, reject) => {
		server.bindAsync('127.0.0.1:0', createPeerServerCredentials(tls), (error, bound) => {
			if (error) {
				reject(error);
			} else {
				resolve(bound);
			}
		});
	});
	stop.signal.addEventListener('abort', () => {
		server.forceShutdown();
	}, {once: true});
	return `127.0.0.1:${port}`;
}

function openClient(deployment: string, tls?: PeerTls): PeerPort {
	return openPeerClient({
		deployment, clock, viewCodec, tls, signal: stop.signal,
	});
}

async function requestStamp(peers: PeerPort, address: string, timeoutMs: number) {
	return peers.askStamp(address, question, {deadline: clock.readNow() + timeoutMs, signal: stop.signal});
}

async function startRelay(target: string): Promise<TcpRelay> {
	return startTcpRelay({address: '127.0.0.1', targetPort: Number(target.split(':')[1]), signal: stop.signal});
}

function createTls(name: string): PeerTls {
	const pems = selfsigned.generate([{name: 'commonName', value: name}], {
		keySize: 2048, algorithm: 'sha256', extensions: [{name: 'basicConstraints', cA: true}, {name: 'subjectAltName', altNames: [{type: 2, value: name}]}],
	});
	return {certificate: pems.cert, key: pems.private, authority: pems.cert};
}

describe('calls between hosts', () => {
	test('return stamps with log entries, fleet views and loans of allotments', async () => {
		const address = await startServer('kringloop');
		const peers = openClient('kringloop');
		const options = {deadline: clock.readNow() + 5000, signal: stop.signal};
		await expect(requestStamp(peers, address, 5000)).resolves.toEqual({
			host: 'jhb-a-2', incarnation: 'two', version: 4, ageMs: 7, entries: [ENTRY], ledgerVersion: 2,
		});
		await expect(peers.askView(address, options)).resolves.toEqual(EMPTY_FLEET_VIEW);
		await expect(peers.moveAllotments(address, {
			host: 'jhb-a-1', asks: [{loanId: 'loan-1', key: 'rate/durban', units: 5}], renewals: [], returns: [],
		}, options)).resolves.toEqual({
			loans: [{
				loanId: 'loan-1', key: 'rate/durban', units: 5, tokens: 1.5, leaseMs: 100,
			}], renewed: [],
		});
	});

	test('are rejected by a host of another deployment', async () => {
		const address = await startServer('instituto');
		await expect(requestStamp(openClient('kringloop'), address, 5000)).rejects.toMatchObject({name: 'PortError', code: 'refused'});
	});

	test('open a new connection after a call timed out on an unresponsive one', async () => {
		const relay = await startRelay(await startServer('kringloop'));
		const peers = openClient('kringloop');
		await requestStamp(peers, relay.address, 5000);
		relay.dropTraffic();
		await expect(requestStamp(peers, relay.address, 150)).rejects.toMatchObject({name: 'PortError', code: 'unavailable'});
		await expect(requestStamp(peers, relay.address, 5000)).resolves.toMatchObject({host: 'jhb-a-2'});
		expect(relay.countOpened()).toBe(2);
	});

	test('are rejected when their signal is aborted', async () => {
		const relay = await startRelay(await startServer('kringloop'));
		const peers = openClient('kringloop');
		await requestStamp(peers, relay.address, 5000);
		relay.dropTraffic();
		const callController = new AbortController();
		const pendingCall = peers.askStamp(relay.address, question, {deadline: clock.readNow() + 60_000, signal: callController.signal});
		callController.abort();
		await expect(pendingCall).rejects.toMatchObject({name: 'PortError'});
	});

	test('succeed over mutual TLS, and fail with a certificate of another authority or without one', async () => {
		const tls = createTls('kringloop');
		const address = await startServer('kringloop', tls);
		await expect(requestStamp(openClient('kringloop', tls), address, 5000)).resolves.toMatchObject({host: 'jhb-a-2'});
		await expect(requestStamp(openClient('kringloop', createTls('kringloop')), address, 1000)).rejects.toMatchObject({code: 'unavailable'});
		await expect(requestStamp(openClient('kringloop'), address, 1000)).rejects.toMatchObject({code: 'unavailable'});
	});
});
