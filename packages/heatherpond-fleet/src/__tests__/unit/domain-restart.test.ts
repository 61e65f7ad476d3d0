import {describe, expect, test} from '@jest/globals';
import {advance} from '../support/steps.js';
import {createTestFleet} from '../support/test-fleet.js';

/** Load: all hosts of two failure domains of fourteen hosts lose power and start again within 0.3 s, in no particular order. */
const DOMAINS = ['domain-1', 'domain-2'];
const HOSTS = DOMAINS.flatMap(domain => Array.from({length: 14}, (_, index) => `${domain}/host-${index + 1}`));
const SEEDS = ['domain-1/host-4', 'domain-2/host-1', 'domain-2/host-9'];
const START_INTERVAL_MS = 10;

describe('the hosts of large domains that all start again', () => {
	test('are registered by their leaders within half a second of the last start', async () => {
		const fleet = createTestFleet(HOSTS, {seeds: SEEDS});
		await advance(fleet.clock, 9000);
		HOSTS.forEach(fleet.killHost);
		await advance(fleet.clock, 1500);
		const order = HOSTS.map((_, index) => HOSTS[(index * 11) % HOSTS.length]!);
		for (const name of order) {
			fleet.startHost(name, name.split('/')[0]);
			await advance(fleet.clock, START_INTERVAL_MS);
		}

		const lastStartAt = fleet.clock.readNow();
		await advance(fleet.clock, 1600);
		const registered = fleet.hosts.filter(({isKilled}) => !isKilled).map(({host}) => host.blackboard.read().registeredAt - lastStartAt).toSorted((left, right) => left - right);
		fleet.stop();
		expect(registered).toHaveLength(HOSTS.length);
		expect(registered.at(-1)).toBeLessThan(500);
	});
});
