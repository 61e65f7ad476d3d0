/** Starts serving client connections. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {createSecureContext, type SecureContext} from 'node:tls';
import {parseAddress, type ProxySettings} from 'heatherpond-config';
import {
	PortError, type Deadline, type Member, type PrimacyGate,
} from 'heatherpond-core';
import {
	createRetryBudget, createUpstreamPools, startClientServer, type ClientServer,
} from 'heatherpond-postgres';
import {ProxyError} from '../proxy-error.js';
import type {HostContext} from './host-context.js';
import type {Limits} from './start-limits.js';

/** Starts the database connection pools and the server for client connections. */
export async function startClientSessions(context: HostContext, limits: Limits, primacyGate: PrimacyGate): Promise<ClientServer> {
	const {settings, clock, blackboard, recordEvent, signal, logger} = context;
	const pools = createUpstreamPools({
		clock,
		credentials: settings.database,
		applicationName: `${settings.domain}/${settings.host}`,
		readMaxConnections: limits.readMaxConnections,
		isDraining(group, database) {
			const record = blackboard.read().view.groups[group];
			// A primary stays in use until another database has been promoted.
			return record !== undefined && record.leaving.includes(database) && record.primary !== database;
		},
		signal,
	});
	const stopRefreshing = blackboard.registerListener(({view}) => view.groups, pools.refresh);
	signal.addEventListener('abort', stopRefreshing, {once: true});
	return startClientServer({
		...parseAddress(settings.listen),
		services: {
			blackboard,
			clock,
			requestGate: limits.requestGate,
			databaseGate: limits.databaseGate,
			primacyGate,
			pools,
			retryBudget: createRetryBudget(),
			recordEvent,
			createId: () => randomUUID(),
			random: Math.random,
			probe: async (member, deadline, probeSignal) => isDatabaseResponsive(context, member, {deadline, signal: probeSignal}),
			limits: settings.limits,
		},
		secureContext: await readSecureContext(settings),
		handleAcceptError({message}) {
			logger.warn('acceptFailed', {listen: settings.listen, reason: message});
		},
		signal,
	});
}

/** Checks on a new connection whether a database responds. */
async function isDatabaseResponsive({upstream}: HostContext, member: Member, options: {readonly deadline: Deadline; readonly signal: AbortSignal}): Promise<boolean> {
	try {
		await upstream.readStatus(member, {...options, onNewConnection: true});
		return true;
	} catch (error) {
		if (error instanceof PortError) {
			return false;
		}

		throw error;
	}
}

async function readSecureContext({tls}: ProxySettings): Promise<SecureContext | undefined> {
	if (!tls) {
		return undefined;
	}

	try {
		const [cert, key] = await Promise.all([readFile(tls.certificate), readFile(tls.key)]);
		return createSecureContext({cert, key, minVersion: 'TLSv1.2'});
	} catch (error) {
		throw new ProxyError(`cannot load the TLS certificate ${tls.certificate} with the key ${tls.key}`, {cause: error});
	}
}
