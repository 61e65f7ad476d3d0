/** Benchmarks control-plane overhead without client traffic: network bytes and CPU time per second, by fleet size. */
import {setMaxListeners} from 'node:events';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import type {Socket} from 'node:net';
import process from 'node:process';
import {createSystemClock, waitUntil} from 'heatherpond-core';
import {KRINGLOOP, startLocalDeployment, type DeploymentPlan} from 'heatherpond-local';
import {findRegressionLine} from './control/linear-regression.js';
import type {
	Figure, FigureGroup, MeasurementOptions, MeasurementResult,
} from './measurement.js';

/** Size of a fleet to measure. */
type Fleet = {readonly hosts: number; readonly teams: number; readonly groups: number};

/** Control-plane cost per host and second. `cpuMs` covers the whole process, stand-ins included. */
type ControlCost = {readonly peerBytes: number; readonly platformBytes: number; readonly cpuMs: number};

const FLEETS: readonly Fleet[] = [3, 7, 14, 28].map(hosts => ({hosts, teams: 8, groups: 3}));
const VARIED_FLEETS: readonly Fleet[] = [{hosts: 7, teams: 64, groups: 3}, {hosts: 7, teams: 8, groups: 1}];
const QUICK_FLEETS: readonly Fleet[] = [3, 7].map(hosts => ({hosts, teams: 8, groups: 3}));
const SETTLE_MS = 4000;
const MEASURE_MS = 8000;
const QUICK_MEASURE_MS = 3000;
const CLIENT_SOCKET_CHANNEL = 'net.client.socket';

/** Measures fleets of several sizes and fits the cost of each additional host. */
export async function runControlBench(options: MeasurementOptions): Promise<MeasurementResult> {
	const fleets = options.isQuick ? QUICK_FLEETS : [...FLEETS, ...VARIED_FLEETS];
	const measured: Array<{readonly fleet: Fleet; readonly cost: ControlCost}> = [];
	for (const fleet of fleets) {
		options.writeLine(`control: ${fleet.hosts} hosts, ${fleet.teams} teams, ${fleet.groups} groups`);
		measured.push({fleet, cost: await measureFleet(fleet, options)});
	}

	const bySize = measured.filter(({fleet}) => fleet.teams === 8 && fleet.groups === 3);
	const groups = measured.map<FigureGroup>(({fleet, cost}) => ({title: `${fleet.hosts} hosts, ${fleet.teams} teams, ${fleet.groups} groups`, figures: createFigures(cost)}));
	const slopes: Figure[] = [
		{name: 'bytes to and from peers, per further host', value: findRegressionLine(bySize.map(({fleet, cost}) => ({x: fleet.hosts, y: cost.peerBytes}))).slope, unit: 'bytes/s a host'},
		{name: 'processor time, per further host', value: findRegressionLine(bySize.map(({fleet, cost}) => ({x: fleet.hosts, y: cost.cpuMs}))).slope, unit: 'ms/s a host'},
	];
	return {name: 'control', groups: [...groups, {title: 'slopes', figures: slopes}], brokenPromises: []};
}

function createFigures({peerBytes, platformBytes, cpuMs}: ControlCost): Figure[] {
	return [
		{name: 'bytes to and from peers', value: peerBytes, unit: 'bytes/s a host'},
		{name: 'bytes to and from the platform', value: platformBytes, unit: 'bytes/s a host'},
		{name: 'processor time of the whole process, stand-ins included', value: cpuMs, unit: 'ms/s a host'},
	];
}

/** Reduces the reference deployment to the given number of groups and gives every team the same contract. */
function createPlan({teams, groups}: Fleet): DeploymentPlan {
	const [first] = KRINGLOOP.contracts;
	const includedGroups = KRINGLOOP.groups.slice(0, groups);
	const names = new Set(includedGroups.map(group => group.name));
	const routes = KRINGLOOP.routes.filter(route => names.has(route.group));
	const contracts = Array.from({length: teams}, (_value, index) => ({...first!, team: `team-${index + 1}`, routes: routes.filter(route => !route.open).map(route => route.name)}));
	return {
		...KRINGLOOP, groups: includedGroups, routes, contracts,
	};
}

/** Starts a fleet without client load and measures its traffic and CPU time after a settling period. */
async function measureFleet(fleet: Fleet, options: MeasurementOptions): Promise<ControlCost> {
	const stop = new AbortController();
	setMaxListeners(0, stop.signal);
	const clock = createSystemClock();
	const sockets: Socket[] = [];
	function handleSocket(message: unknown): void {
		sockets.push((message as {readonly socket: Socket}).socket);
	}

	subscribe(CLIENT_SOCKET_CHANNEL, handleSocket);
	try {
		const perDomain = Math.floor(fleet.hosts / KRINGLOOP.domains.length);
		const deployment = await startLocalDeployment({
			plan: createPlan(fleet), hostsPerDomain: perDomain, extraHosts: fleet.hosts - (perDomain * KRINGLOOP.domains.length), clock, logLevel: 'silent', hostListLagMs: 0, signal: stop.signal,
		});
		await waitUntil(clock, clock.readNow() + SETTLE_MS, options.signal);
		const peerPorts = new Set(deployment.hosts.map(host => Number(host.identity.peerAddress.split(':').at(-1))));
		const platformPort = Number(deployment.platform.address.split(':').at(-1));
		const durationMs = options.isQuick ? QUICK_MEASURE_MS : MEASURE_MS;
		const before = {peer: countBytes(sockets, port => peerPorts.has(port)), platform: countBytes(sockets, port => port === platformPort), cpu: process.cpuUsage()};
		await waitUntil(clock, clock.readNow() + durationMs, options.signal);
		const cpu = process.cpuUsage(before.cpu);
		const perHostSecond = 1000 / durationMs / fleet.hosts;
		return {
			// Only client sockets are counted, but each byte is sent by one host and received by another.
			peerBytes: (countBytes(sockets, port => peerPorts.has(port)) - before.peer) * 2 * perHostSecond,
			platformBytes: (countBytes(sockets, port => port === platformPort) - before.platform) * perHostSecond,
			cpuMs: (cpu.user + cpu.system) / 1000 * perHostSecond,
		};
	} finally {
		unsubscribe(CLIENT_SOCKET_CHANNEL, handleSocket);
		stop.abort();
	}
}

/** Returns the bytes sent and received so far on sockets with a matching remote port. */
function countBytes(sockets: readonly Socket[], isCounted: (port: number) => boolean): number {
	return sockets.filter(socket => isCounted(socket.remotePort ?? 0)).reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
}
