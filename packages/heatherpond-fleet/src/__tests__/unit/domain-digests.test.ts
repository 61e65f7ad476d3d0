import {describe, expect, test} from '@jest/globals';
import {hostMessageSchema} from '../../host-message.js';
import type {DomainDigest} from '../../usage-report.js';
import {advance} from '../support/steps.js';
import {
	createTestFleet, TEAM, TEAM_LIMIT, type RecordedDatagram, type TestFleet, type TestHost,
} from '../support/test-fleet.js';

const POLL_INTERVAL_MS = 800;
/** Time after which a host that no longer reports counts as dead, and one interval of reports. */
const FAILOVER_MS = 2800 + POLL_INTERVAL_MS;
/** Time before the new leader takes over from which operations are counted, and the window in which the limit counts. */
const TAKEOVER_MS = 1000;
const WINDOW_MS = 5000;
const DOMAIN = Array.from({length: 9}, (_, index) => `domain-1/host-${index + 1}`);
const HOSTS = [...DOMAIN, 'domain-2/host-1'];

/** Reads the digests in a datagram. */
function readDigests({text}: RecordedDatagram): readonly DomainDigest[] {
	return text.split('\n')
		.filter(part => part.startsWith('{'))
		.map(part => hostMessageSchema.parse(JSON.parse(part)))
		.flatMap(message => message.kind === 'digest' ? [message.digest] : []);
}

function findDigestsTo(fleet: TestFleet, host: string, since: number): readonly DomainDigest[] {
	return fleet.datagrams.filter(({to, at}) => to === host && at > since).flatMap(datagram => readDigests(datagram));
}

function findHost(fleet: TestFleet, name: string): TestHost {
	return fleet.hosts.find(host => host.name === name)!;
}

describe('digests in a large failure domain', () => {
	test('name the live hosts again only after a host has appeared or left', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 8000);
		const calmSince = fleet.clock.readNow();
		await advance(fleet.clock, 4 * POLL_INTERVAL_MS);
		const calm = findDigestsTo(fleet, 'domain-1/host-5', calmSince);
		expect(calm.length).toBeGreaterThan(2);
		expect(calm.filter(({members}) => members)).toEqual([]);

		const killedAt = fleet.clock.readNow();
		fleet.killHost('domain-1/host-7');
		await advance(fleet.clock, FAILOVER_MS + (3 * POLL_INTERVAL_MS));
		const lists = findDigestsTo(fleet, 'domain-1/host-5', killedAt).flatMap(({members}) => members ? [members.map(({host}) => host)] : []);
		expect(lists.at(-1)).not.toContain('domain-1/host-7');
		// One list, and a second one while the host has not reported yet that it has the first.
		expect(lists.length).toBeLessThanOrEqual(2);
		fleet.stop();
	});

	test('name the hosts again to one that has missed the list', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 8000);
		const host = findHost(fleet, 'domain-1/host-5');
		const killedAt = fleet.clock.readNow();
		let lost = 0;
		host.dropsDatagram = text => {
			const isLost = lost < 2 && text.includes('"members":[');
			lost += isLost ? 1 : 0;
			return isLost;
		};

		fleet.killHost('domain-1/host-7');
		await advance(fleet.clock, FAILOVER_MS + (4 * POLL_INTERVAL_MS));
		expect(lost).toBe(2);
		const arrived = findDigestsTo(fleet, host.name, killedAt).filter(({members}) => members).slice(lost);
		expect(arrived.length).toBeGreaterThan(0);
		const last = findDigestsTo(fleet, host.name, killedAt).at(-1)!;
		expect(last.members).toBeUndefined();
		fleet.stop();
	});

	test('give an overview of the other domains to all but the successors of the leader, which get their reports', async () => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 8000);
		const since = fleet.clock.readNow();
		await advance(fleet.clock, 3 * POLL_INTERVAL_MS);
		expect(findDigestsTo(fleet, 'domain-1/host-2', since).filter(({remote}) => remote)).toEqual([]);
		const overviews = findDigestsTo(fleet, 'domain-1/host-6', since).map(({remote}) => remote?.leaders.map(({domain}) => domain));
		expect(new Set(overviews.map(String))).toEqual(new Set(['domain-2']));
		const relayed = fleet.datagrams.filter(({at, text, to}) => at > since && to.startsWith('domain-1') && text.includes('"isRelayed":true'));
		expect(new Set(relayed.map(({to}) => to))).toEqual(new Set(['domain-1/host-2', 'domain-1/host-3']));
		fleet.stop();
	});

	test.each([
		['has served', true],
		['has not served', false],
	])('let a host take over within the limit of a team that it %s, after the leader and its successors have failed', async (_name, hasServed) => {
		const fleet = createTestFleet(HOSTS);
		await advance(fleet.clock, 8000);
		const remote = findHost(fleet, 'domain-2/host-1');
		await advance(fleet.clock, 3000, () => {
			void remote.host.sessions.admission.admit(TEAM);
		});
		const next = findHost(fleet, 'domain-1/host-4');
		if (hasServed) {
			void next.host.sessions.admission.admit(TEAM);
		}

		await advance(fleet.clock, POLL_INTERVAL_MS * 2, () => {
			void remote.host.sessions.admission.admit(TEAM);
		});
		['domain-1/host-1', 'domain-1/host-2', 'domain-1/host-3'].forEach(fleet.killHost);
		// Until the other domain reports to the new leader, its last known demand counts: it presses, this domain does not.
		let granted = 0;
		async function countAdmitted({host}: TestHost): Promise<void> {
			granted += await host.sessions.admission.admit(TEAM) === 0 ? 1 : 0;
		}

		await advance(fleet.clock, FAILOVER_MS - TAKEOVER_MS, () => {
			void remote.host.sessions.admission.admit(TEAM);
		});
		await advance(fleet.clock, WINDOW_MS, () => {
			void countAdmitted(next);
			void countAdmitted(remote);
		});
		const allowed = (TEAM_LIMIT.ratePerSecond * WINDOW_MS / 1000) + TEAM_LIMIT.burst;
		expect(granted).toBeLessThanOrEqual((allowed * 1.1) + 20);
		fleet.stop();
	});
});
