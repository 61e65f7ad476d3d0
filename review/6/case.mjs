/** Acknowledged commits of a service with a synchronous replica, while a replica drains, another receives nothing, and the primary crashes. */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {openSession} from '../standins-2/client.mjs';
import {
	HEARTBEAT_MS, hasTrouble, ROUTES, runCase, startDeployment, TENANT, wait,
} from '../standins-2/deployment.mjs';

const [PRIMARY, DRAINING, DEAF] = ['i-1a', 'i-2b', 'i-3c'];
const DEAF_MS = 5000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({note, onEnd, at}) => {
	const {service, machines, platform, stop} = await startDeployment({
		syncReplicas: 1, databases: [{id: PRIMARY}, {id: DRAINING}, {id: DEAF}],
	});
	onEnd(stop);
	const acknowledged = [];
	const lifetime = new AbortController();

	/** Writes one item after the other, with pauses, and notes what is acknowledged. */
	async function runClient(index) {
		const {address} = machines[index % machines.length];
		let session;
		for (let count = 0; !lifetime.signal.aborted; count++) {
			session = session && !session.isClosed() ? session : await openSession({address, database: ROUTES.primary, key: TENANT.key}).catch(() => undefined);
			const answer = await session?.query(`WRITE item-${index}-${count} v`);
			if (answer?.isServed) {
				acknowledged.push({id: answer.id, at: performance.now(), signature: answer.lines.at(-2)});
			}

			await wait(20);
		}

		session?.close();
	}

	const clients = Array.from({length: 6}, async (_, index) => runClient(index));
	await wait(3000);
	note(`${acknowledged.length} writes acknowledged in calm time`);
	if (hasTrouble) {
		note(`planned: ${DRAINING} reports that it is draining; it goes on receiving and counts as the synchronous replica`);
		service.drain(DRAINING);
		note(`disruption: ${DEAF} receives nothing for ${DEAF_MS} ms`);
		const deaf = service.databases.get(DEAF);
		deaf.isPaused = true;
		setTimeout(() => {
			deaf.isPaused = false;
		}, DEAF_MS);
		await wait(2000);
		note(`disruption: ${PRIMARY} crashes; position ${service.databases.get(PRIMARY).log.length}, ${DRAINING} has received ${service.databases.get(DRAINING).log.length}, ${DEAF} has received ${deaf.log.length}`);
		service.crash(PRIMARY, HEARTBEAT_MS);
		const end = performance.now() + 12_000;
		while (service.promotes.length === 0 && performance.now() < end) {
			await wait(20);
		}
	}

	await wait(2000);
	lifetime.abort();
	await Promise.all(clients);
	platform.failovers.forEach(({at: instant, id, holder, token, status}) => {
		note(`at ${at(instant)} POST /failover ${id} from ${holder} with token ${token}: ${status}`);
	});
	return service.promotes.flatMap(({at: promotedAt, id, held}) => {
		const before = acknowledged.filter(commit => commit.at < promotedAt);
		const lost = before.filter(commit => !held.has(commit.id));
		note(`at ${at(promotedAt)} ${id} leads with ${held.size} commits; ${before.length} commits had been acknowledged, ${lost.length} of them are not in its log`);
		return lost.map(commit => `LOST: commit ${commit.id}, acknowledged at ${at(commit.at)} with ${commit.signature}, is not in the log of ${id}, promoted at ${at(promotedAt)}`);
	});
});
