/** Implementation of the platform port over gRPC. */
import type {PlatformPort} from 'heatherpond-core';
import {openPlatformConnection, type PlatformClientOptions} from './platform-client.js';
import {appendLogEntry, readLogPage, readOperationVersion} from './platform-log.js';
import {readSnapshot, writeSnapshot} from './platform-snapshot.js';

/** Opens a connection to the platform, which closes when the signal is aborted. */
export function openPlatform(options: PlatformClientOptions): PlatformPort {
	const connection = openPlatformConnection(options);
	return {
		readEntries: async (version, callOptions) => readLogPage(connection, version, callOptions),
		appendEntry: async (draft, expectedVersion, callOptions) => appendLogEntry(connection, draft, expectedVersion, callOptions),
		readOperation: async (operationId, callOptions) => readOperationVersion(connection, operationId, callOptions),
		readSnapshot: async callOptions => readSnapshot(connection, callOptions),
		writeSnapshot: async (view, callOptions) => writeSnapshot(connection, view, callOptions),
		async reportHost({host, domain, peerAddress, state}, callOptions) {
			const reported = {
				host, domain, peerAddress, leaving: state === 'leaving',
			};
			await connection.call(client => client.reportHost, {host: reported}, callOptions);
		},
		async readHosts(callOptions) {
			const reply = await connection.call(client => client.listHosts, {}, callOptions);
			return reply.hosts.map(host => ({
				host: host.host, domain: host.domain, peerAddress: host.peerAddress, state: host.leaving ? 'leaving' : 'live',
			}));
		},
	};
}
