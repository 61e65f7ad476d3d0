/** Measurements and benchmarks available on the command line. Each module is loaded on demand. */
import type {Measurement} from './measurement.js';

/** Measurements, run with `npm run measure -- NAME`. */
export const MEASUREMENTS: readonly Measurement[] = [
	{
		name: 'suite',
		description: 'Main measures on both deployments, without a fault and under each fault',
		async run(options) {
			const {runSuiteMeasure} = await import('./measure-suite.js');
			return runSuiteMeasure(options);
		},
	},
	{
		name: 'withdraw',
		description: 'Time from withdrawing a key until its last open connection on any proxy is refused',
		async run(options) {
			const {runWithdrawMeasure} = await import('./measure-withdraw.js');
			return runWithdrawMeasure(options);
		},
	},
	{
		name: 'roaming',
		description: 'Read-your-writes consistency of sessions that move between proxies, while replicas lag',
		async run(options) {
			const {runRoamingMeasure} = await import('./measure-roaming.js');
			return runRoamingMeasure(options);
		},
	},
	{
		name: 'fairness',
		description: 'Fleet-wide rate limits: excess admissions, false refusals, and the impact of a noisy team',
		async run(options) {
			const {runFairnessMeasure} = await import('./measure-fairness.js');
			return runFairnessMeasure(options);
		},
	},
	{
		name: 'failover',
		description: 'Failover gap for failed and partitioned primaries, during a platform outage, and for planned switchovers',
		async run(options) {
			const {runFailoverMeasure} = await import('./measure-failover.js');
			return runFailoverMeasure(options);
		},
	},
];

/** Benchmarks, run with `npm run bench -- NAME`. */
export const BENCHMARKS: readonly Measurement[] = [
	{
		name: 'proxy',
		description: 'Throughput, added latency and memory per connection of one proxy',
		async run(options) {
			const {runProxyBench} = await import('./bench-proxy.js');
			return runProxyBench(options);
		},
	},
	{
		name: 'view',
		description: 'Memory and processing cost of the fleet view on a host, by fleet size',
		async run(options) {
			const {runViewBench} = await import('./bench-view.js');
			return runViewBench(options);
		},
	},
	{
		name: 'spread',
		description: 'Time until all hosts of a domain have the snapshot when they start at once',
		async run(options) {
			const {runSpreadBench} = await import('./bench-spread.js');
			return runSpreadBench(options);
		},
	},
	{
		name: 'host',
		description: 'Messages, timers and processor time of a host of the users\' platform, by the size of the fleet, and of its statements',
		async run(options) {
			const {runHostBench} = await import('./bench-host.js');
			return runHostBench(options);
		},
	},
	{
		name: 'control',
		description: 'Control-plane traffic and CPU time per host, by the number of hosts, teams and groups',
		async run(options) {
			const {runControlBench} = await import('./bench-control.js');
			return runControlBench(options);
		},
	},
];
