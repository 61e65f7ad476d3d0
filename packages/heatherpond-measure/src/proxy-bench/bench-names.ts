/** Names and types shared by the threads of the proxy benchmark. */

/** Addresses of the platform and the primary, and the access key of the benchmark team. */
export type BenchAddresses = {
	readonly platform: string;
	readonly primaryPort: number;
	readonly key: string;
};

/** Name of the benchmark team. */
export const BENCH_TEAM = 'bench';

/** Name of both the route and the database group. */
export const BENCH_ROUTE = 'bench';

/** Calls handled by the databases worker. */
export type DatabasesCalls = {
	readonly start: (argument: undefined) => Promise<BenchAddresses>;
};
