/** Starts the host's metrics and, if the settings contain a metrics address, the HTTP server for them. */
import process from 'node:process';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {parseAddress} from 'heatherpond-config';
import {readStampAge, startListening} from 'heatherpond-core';
import {createMetrics, type Metrics} from 'heatherpond-observe';
import {ProxyError} from '../proxy-error.js';
import type {HostContext} from './host-context.js';

/** Metrics, and the port of their HTTP server if there is one. */
export type HostMetrics = {readonly metrics: Metrics; readonly port?: number};

const PATH = '/metrics';

/** Starts the metrics. The HTTP server closes when the context's signal aborts. */
export async function startMetrics(context: HostContext): Promise<HostMetrics> {
	const {blackboard, clock, settings} = context;
	const metrics = createMetrics([
		{name: 'heatherpond_log_version', help: 'Version of the change log up to which the view is complete', read: () => blackboard.read().view.version},
		{name: 'heatherpond_stamp_age_milliseconds', help: 'Age of the last verification of the view', read: () => readStampAge(blackboard.read().stamp, clock.readNow())},
		{name: 'heatherpond_promotions_open', help: 'Groups with a promotion under way', read: () => Object.values(blackboard.read().view.groups).filter(group => group.promotion).length},
		{name: 'heatherpond_databases_unreachable', help: 'Databases whose last probe failed', read: () => Object.values(blackboard.read().databases).filter(database => database.failures > 0).length},
		{name: 'process_resident_memory_bytes', help: 'Resident memory', read: () => process.memoryUsage.rss()},
	]);
	return {metrics, port: settings.metricsListen === undefined ? undefined : await startMetricsServer(context, settings.metricsListen, metrics)};
}

async function startMetricsServer({signal, logger}: HostContext, listen: string, metrics: Metrics): Promise<number> {
	const server = createServer((request, response) => {
		void handleHttpRequest(metrics, request, response);
	});
	signal.addEventListener('abort', () => {
		server.close();
		server.closeAllConnections();
	}, {once: true});
	const {address, port} = parseAddress(listen);
	await startListening(server, {host: address, port}, error => {
		logger.warn('acceptFailed', {port, reason: error.message});
	}).catch((error: unknown) => {
		throw new ProxyError(`cannot listen on ${listen}`, {cause: error});
	});
	return (server.address() as {readonly port: number}).port;
}

async function handleHttpRequest(metrics: Metrics, request: IncomingMessage, response: ServerResponse): Promise<void> {
	if (request.method !== 'GET' || request.url !== PATH) {
		response.writeHead(404).end();
		return;
	}

	const text = await metrics.renderMetrics();
	response.writeHead(200, {'content-type': metrics.contentType}).end(text);
}
