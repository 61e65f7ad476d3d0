/** A small deployment for a script: platform, one service of three databases, three machines in three zones; and the script's record and exit code. */
/* eslint camelcase: off -- the names are those of the settings and of the configuration */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {startPlatform} from './platform.mjs';
import {startService} from './database.mjs';
import {createHosts, createNetwork} from './hosts.mjs';

export const ZONES = {'jhb-a': 'gauteng', 'cpt-a': 'western-cape', 'dbn-a': 'kwazulu-natal'};
export const SERVICE = 'huvo11a';
export const HEARTBEAT_MS = 1200;
/** One tenant, and one route of each type. */
export const TENANT = {name: 'nypu920', key: 'u6wsjnbanfqasnmgkcuy'};
export const ROUTES = {primary: 'lepu270', bounded: 'xapu221', own: 'fiti832'};

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Starts the deployment. `findStoreAddress` and `findCloudAddress` may name a proxy in place of the platform. */
export async function startDeployment({databases, syncReplicas = 0, promoteMs = 300, promote, routes = {}, limits = {}, tenants, hostCount = 3, workMs, proxies}) {
	const createAddress = createNetwork();
	const service = {};
	const platform = await startPlatform({
		host: createAddress(1),
		promote: call => promote ? promote(call, service.current) : service.current.promote(call),
	});
	let version = 6;
	function writeConfiguration(change = {}, changedRoutes = routes) {
		version += 1 + Math.floor(Math.random() * 3);
		const common = {
			prefix: '/', attempts: 2, anonymous: false, backend: SERVICE,
		};
		platform.writeRow('op', 'config', JSON.stringify({
			version,
			routes: [
				{
					name: 'r-1', database: ROUTES.primary, route_type: 'primary', timeout_ms: 800, target_latency_ms: 400, priority: 1, ...common, ...changedRoutes.primary,
				},
				{
					name: 'r-2', database: ROUTES.bounded, route_type: 'bounded_staleness', timeout_ms: 2000, target_latency_ms: 800, priority: 2, max_staleness_ms: 1500, ...common, ...changedRoutes.bounded,
				},
				{
					name: 'r-3', database: ROUTES.own, route_type: 'read_your_writes', timeout_ms: 800, target_latency_ms: 800, priority: 2, max_staleness_ms: 2500, ...common, ...changedRoutes.own,
				},
			],
			backends: [{
				name: SERVICE, health_path: '/health', max_connections: 22, protocol: 'h1', tls: false, sync_replicas: syncReplicas,
			}],
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tx_idle_ms: 3000, ...limits,
			},
			tenants: tenants ?? [{
				name: TENANT.name, api_keys: [TENANT.key], priority: 1, rate_per_s: 2000, burst: 2000,
			}],
			...change,
		}));
	}

	writeConfiguration();
	const zoneNames = Object.keys(ZONES);
	service.current = await startService({
		name: SERVICE, syncReplicas, promoteMs, workMs,
		databases: databases.map((database, index) => ({host: createAddress(101 + index), zone: zoneNames[index % zoneNames.length], ...database})),
		register(id, entry) {
			platform.writeRow('servers', id, entry && JSON.stringify(entry));
		},
	});
	const beats = setInterval(() => {
		service.current.heartbeat();
	}, HEARTBEAT_MS);
	const find = kind => name => proxies?.[kind]?.(name, platform) ?? platform[`${kind}Address`];
	const hosts = createHosts({zones: ZONES, findStoreAddress: find('store'), findCloudAddress: find('cloud')});
	const ips = Array.from({length: hostCount}, (_, index) => createAddress(11 + index));
	const started = [];
	for (const [index, ip] of ips.entries()) {
		const zone = zoneNames[index % zoneNames.length];
		started.push(await hosts.start({
			name: `frontend-${zone}-${1 + Math.floor(index / zoneNames.length)}`, ip, zone, seeds: ips.slice(0, 3),
		}));
	}

	await hosts.waitUntilReady(started);
	return {
		platform, service: service.current, hosts, machines: started, writeConfiguration, createAddress,
		stop() {
			clearInterval(beats);
			hosts.stop();
			service.current.stop();
			platform.stop();
		},
	};
}

/**
 * Runs a case: writes what it records to record.txt in its folder, and ends with 1 if the rule was broken, 0 if it held, 2 if the
 * case could not run.
 *
 * @param run - gets `note`, which adds a line to the record, and `onEnd`; resolves to the broken rules as texts, or throws
 */
export async function runCase(folder, run) {
	const lines = [];
	const ends = [];
	const startedAt = performance.now();
	const note = text => {
		lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`);
	};

	let code = 2;
	const limit = setTimeout(() => {
		note('the script has run for too long');
		endCase(2);
	}, 110_000);
	function endCase(status) {
		clearTimeout(limit);
		ends.forEach(end => {
			end();
		});
		writeFileSync(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
		// Nothing of the case runs on.
		process.exit(status); // eslint-disable-line unicorn/no-process-exit
	}

	['SIGINT', 'SIGTERM'].forEach(signal => {
		process.on(signal, () => {
			endCase(2);
		});
	});
	try {
		const broken = await run({note, onEnd: end => ends.push(end), at: instant => ((instant - startedAt) / 1000).toFixed(3)});
		broken.slice(0, 20).forEach(text => {
			note(`BROKEN ${text}`);
		});
		note(broken.length === 0 ? 'the rule held' : `the rule was broken (${broken.length})`);
		code = broken.length === 0 ? 0 : 1;
	} catch (error) {
		note(`the case could not run: ${error.stack}`);
	}

	console.log(lines.slice(-3).join('\n'));
	endCase(code);
}

export {wait} from './hosts.mjs';
