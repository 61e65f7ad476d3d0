/** Plans of the production deployments, for use in local deployments. */
import {contractSchema, type Contract, type Route} from 'heatherpond-core';

/** One database group of a deployment plan. */
export type GroupPlan = {
	readonly name: string;
	/** Failure domain of each database; the database in the first one is the initial primary. */
	readonly domains: readonly string[];
	/** Statements that each database runs at once. */
	readonly slots: number;
	/** Connections that each database accepts. */
	readonly connections: number;
};

/** Failure domains, database groups, routes and contracts of a deployment. */
export type DeploymentPlan = {
	readonly name: string;
	readonly domains: readonly string[];
	readonly groups: readonly GroupPlan[];
	readonly routes: readonly Route[];
	readonly contracts: readonly Contract[];
	/** Name of the table that the demo and the write ledger create and use. */
	readonly table: string;
};

/** Creates a contract whose burst equals its rate per second. */
function createContract(team: string, rate: number, weight: number, routes: readonly string[]): Contract {
	return contractSchema.parse({
		team, rate, burst: rate, weight, routes: [...routes],
	});
}

/** Creates one closed route for each group, and an open route to the first group. */
function createRoutes(names: readonly string[], groups: readonly string[], open: string): Route[] {
	const closed = names.map((name, index) => ({
		name, group: groups[index]!, open: false, maxStalenessMs: 0,
	}));
	return [...closed, {
		name: open, group: groups[0]!, open: true, maxStalenessMs: 5000,
	}];
}

const KRINGLOOP_DOMAINS = ['jhb-a', 'cpt-a', 'dbn-a'];
const KRINGLOOP_GROUPS = ['sponsorship-jhb', 'sponsorship-cpt', 'sponsorship-dbn'];
const KRINGLOOP_ROUTES = ['bookings-jhb', 'bookings-cpt', 'bookings-dbn'];

/** Kringloop Borgskap Analytics: three sponsorship groups of three databases with three slots. */
export const KRINGLOOP: DeploymentPlan = {
	name: 'kringloop',
	domains: KRINGLOOP_DOMAINS,
	groups: KRINGLOOP_GROUPS.map((name, index) => ({
		name, domains: orderFrom(KRINGLOOP_DOMAINS, index), slots: 3, connections: 20,
	})),
	routes: createRoutes(KRINGLOOP_ROUTES, KRINGLOOP_GROUPS, 'listings'),
	contracts: [
		createContract('johannesburg', 400, 4, KRINGLOOP_ROUTES),
		createContract('cape-town', 300, 3, KRINGLOOP_ROUTES),
		createContract('durban', 300, 3, KRINGLOOP_ROUTES),
		...['gqeberha', 'bloemfontein', 'polokwane', 'mbombela', 'kimberley'].map(team => createContract(team, 100, 1, KRINGLOOP_ROUTES)),
	],
	table: 'items',
};

const INSTITUTO_DOMAINS = ['sierra-quito', 'costa-guayaquil', 'oriente-puyo'];
const INSTITUTO_GROUPS = ['pasture-sierra', 'pasture-costa', 'pasture-oriente'];
const INSTITUTO_ROUTES = ['readings-sierra', 'readings-costa', 'readings-oriente'];

/** Instituto Nacional de Medición de Pasturas: three pasture groups of three databases with two slots. */
export const INSTITUTO: DeploymentPlan = {
	name: 'instituto',
	domains: INSTITUTO_DOMAINS,
	groups: INSTITUTO_GROUPS.map((name, index) => ({
		name, domains: orderFrom(INSTITUTO_DOMAINS, index), slots: 2, connections: 30,
	})),
	routes: createRoutes(INSTITUTO_ROUTES, INSTITUTO_GROUPS, 'curves'),
	contracts: [
		createContract('technicians', 400, 4, INSTITUTO_ROUTES),
		createContract('extension', 300, 3, INSTITUTO_ROUTES),
		createContract('ministry', 200, 2, INSTITUTO_ROUTES),
		...['coop-andes', 'coop-litoral', 'coop-amazonia', 'coop-paramo', 'coop-norte'].map(team => createContract(team, 100, 1, INSTITUTO_ROUTES)),
	],
	table: 'items',
};

/** Rotates a list so that it starts with the item at index `start`. */
function orderFrom<Item>(items: readonly Item[], start: number): Item[] {
	return [...items.slice(start), ...items.slice(0, start)];
}

/** Deployment plans by name. */
export const PLANS = {kringloop: KRINGLOOP, instituto: INSTITUTO} as const;
