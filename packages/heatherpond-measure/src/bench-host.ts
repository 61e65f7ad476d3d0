/**
 * Benchmarks what a host of the users' platform costs: what it does while it is mostly idle, by the size of the fleet, and the
 * processor time of statements, on in-memory ports. Clock and network are simulated, so messages and timers are counted exactly.
 */
import process from 'node:process';
import {createClientSession, type ClientSession, type SessionReply} from 'heatherpond-session';
import {createInstantDatabases} from './host-bench/instant-database.js';
import {
	startQuietFleet, type HostCounts, type QuietFleet, type QuietFleetOptions,
} from './host-bench/quiet-fleet.js';
import {MeasureError} from './measure-error.js';
import type {
	Figure, FigureGroup, MeasurementOptions, MeasurementResult,
} from './measurement.js';

type FleetSize = Pick<QuietFleetOptions, 'hosts' | 'domains'>;

const FLEET_SIZES: readonly FleetSize[] = [{hosts: 7, domains: 3}, {hosts: 74, domains: 6}, {hosts: 195, domains: 6}, {hosts: 300, domains: 6}];
const QUICK_FLEET_SIZES: readonly FleetSize[] = [{hosts: 7, domains: 3}, {hosts: 74, domains: 6}];
const GROUPS = 6;
const TEAMS = 75;
/** Connections for each host in fleets that need no relays, and in those in which statements are relayed. */
const DIRECT_CONNECTIONS = 1000;
const RELAYED_CONNECTIONS = 4;
/** Hosts beside which statements are measured; few, because their own work is subtracted. */
const STATEMENT_HOSTS = 6;
const START_MS = 10_000;
const IDLE_MS = 5000;
const STATEMENTS = 1000;
/** Time in which a statement is answered, by way of a relay too, in milliseconds. */
const STATEMENT_MS = 50;
/** Budget of control traffic for a host. */
const CONTROL_BYTES_PER_SECOND = 4000;

const COUNTS: ReadonlyArray<{readonly name: keyof HostCounts; readonly unit: string}> = [
	{name: 'datagrams', unit: 'a second'},
	{name: 'bytes', unit: 'bytes a second'},
	{name: 'storeCalls', unit: 'a second'},
	{name: 'timers', unit: 'a second'},
];

/** Reads the processor time of this process, in milliseconds. */
function readProcessorMs(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / 1000;
}

async function measureProcessorMs(run: () => Promise<void>): Promise<number> {
	const before = readProcessorMs();
	await run();
	return readProcessorMs() - before;
}

/** Orders the rates of one count over the hosts of a fleet. */
function computeRates(before: readonly HostCounts[], after: readonly HostCounts[], name: keyof HostCounts): readonly number[] {
	return after.map((counts, index) => (counts[name] - before[index]![name]) * 1000 / IDLE_MS).toSorted((left, right) => left - right);
}

function createRateFigures({name, unit}: (typeof COUNTS)[number], rates: readonly number[]): readonly Figure[] {
	const median = rates[Math.floor(rates.length / 2)]!;
	const target = name === 'bytes' ? {target: `at most ${CONTROL_BYTES_PER_SECOND}`, isMet: median <= CONTROL_BYTES_PER_SECOND} : {};
	return [
		{
			name: `${name}, middle host`, value: median, unit, ...target,
		},
		{name: `${name}, busiest host`, value: rates.at(-1)!, unit},
	];
}

async function measureIdle(size: FleetSize): Promise<FigureGroup> {
	const fleet = startQuietFleet({
		...size, groups: GROUPS, teams: TEAMS, maxConnections: DIRECT_CONNECTIONS,
	});
	const startMs = await measureProcessorMs(async () => fleet.advance(START_MS));
	const before = fleet.readCounts();
	const idleMs = await measureProcessorMs(async () => fleet.advance(IDLE_MS));
	const after = fleet.readCounts();
	fleet.stop();
	return {
		title: `${size.hosts} hosts in ${size.domains} domains, mostly idle`,
		figures: [
			...COUNTS.flatMap(count => createRateFigures(count, computeRates(before, after, count.name))),
			{name: 'processor time of a host in the first ten seconds', value: startMs / size.hosts, unit: 'ms'},
			{name: 'processor time of a host', value: idleMs / size.hosts * 1000 / IDLE_MS, unit: 'ms a second'},
		],
	};
}

/** Runs statements one after the other on a session; `beforeEach` is called before each of them. */
async function runStatements(fleet: QuietFleet, session: ClientSession, beforeEach: () => void = () => undefined): Promise<void> {
	for (const index of Array.from({length: STATEMENTS}).keys()) {
		beforeEach();
		const replies: SessionReply[] = [];
		void session.run({id: `statement-${index}`, text: 'READ 1', action: {kind: 'data', access: 'read'}}, fleet.clock.readNow()).then(reply => replies.push(reply));
		await fleet.advance(STATEMENT_MS);
		checkAnswered(replies.at(0));
	}
}

/** Ends the benchmark when a statement was not answered in its time: the figures would not be those of statements. */
function checkAnswered(reply: SessionReply | undefined): void {
	if (reply?.kind !== 'answer' || reply.isError) {
		throw new MeasureError(`a statement was not answered: ${JSON.stringify(reply)}`);
	}
}

/** Measures the processor time of a statement, without that of the fleet in the same time. */
async function measureStatements(title: string, maxConnections: number): Promise<FigureGroup> {
	const databases = createInstantDatabases();
	const fleet = startQuietFleet({
		hosts: STATEMENT_HOSTS, domains: 3, groups: GROUPS, teams: TEAMS, maxConnections, openConnection: (_clock, upstream, team) => databases.openConnection(upstream, team),
	});
	await fleet.advance(START_MS);
	const idleMs = await measureProcessorMs(async () => fleet.advance(STATEMENTS * STATEMENT_MS));
	const session = createClientSession({sessionId: 'bench', database: fleet.route, key: fleet.key}, fleet.hosts.at(-1)!.sessions);
	const runs = [
		{name: 'first statements', beforeEach: () => undefined},
		{name: 'further statements', beforeEach: () => undefined},
		{name: 'statements whose first attempt fails', beforeEach: databases.refuseNext},
	];
	const figures: Figure[] = [];
	for (const {name, beforeEach} of runs) {
		const runMs = await measureProcessorMs(async () => runStatements(fleet, session, beforeEach));
		figures.push({name, value: (runMs - idleMs) / STATEMENTS, unit: 'ms'});
	}

	session.stop();
	fleet.stop();
	return {title, figures};
}

/** Measures idle hosts and statements. */
export async function runHostBench({isQuick, writeLine}: MeasurementOptions): Promise<MeasurementResult> {
	const groups: FigureGroup[] = [];
	for (const size of isQuick ? QUICK_FLEET_SIZES : FLEET_SIZES) {
		writeLine(`${size.hosts} hosts`);
		groups.push(await measureIdle(size));
	}

	writeLine('statements');
	groups.push(await measureStatements('direct statements', DIRECT_CONNECTIONS), await measureStatements('relayed statements', RELAYED_CONNECTIONS));
	return {name: 'host', groups, brokenPromises: []};
}
