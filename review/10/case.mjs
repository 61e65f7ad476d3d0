/** A key that a configuration gives to another tenant, while a transaction of its client is open: the transaction runs on as the tenant that had it. */
/* eslint camelcase: off -- the names are those of the configuration */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {openSession} from '../standins-2/client.mjs';
import {
	hasTrouble, ROUTES, runCase, startDeployment, wait,
} from '../standins-2/deployment.mjs';

const [OLD, NEW] = ['nypu920', 'gare417'];
const [MOVED, OLD_KEY, NEW_KEY] = ['u6wsjnbanfqasnmgkcuy', 'j8pjbvk9m68k7b2ex5wa', 'q2vxk8tz4mhd7crw3bne'];
const CONFIG_APPLY_MS = 3000;
const REVOKE_MS = 5000;
/** Pause between two statements of the transaction; `tx_idle_ms` is 3000. */
const PAUSE_MS = 1500;
const STATEMENTS = 6;

const createTenants = (oldKeys, newKeys) => [[OLD, oldKeys], [NEW, newKeys]].map(([name, keys]) => ({
	name, api_keys: keys, priority: 1, rate_per_s: 91, burst: 91,
}));

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({note, onEnd, at}) => {
	const {service, machines, writeConfiguration, stop} = await startDeployment({
		databases: [{id: 'i-1a'}, {id: 'i-2b'}, {id: 'i-3c'}], tenants: createTenants([MOVED, OLD_KEY], [NEW_KEY]),
	});
	onEnd(stop);
	const sent = [];

	async function runClient(index) {
		const session = await openSession({address: machines[index].address, database: ROUTES.primary, key: MOVED});
		const texts = ['BEGIN', ...Array.from({length: STATEMENTS}, (_, count) => `WRITE item-${index} v${count}`), 'COMMIT', `WRITE after-${index} v`];
		for (const text of texts) {
			const sentAt = performance.now();
			const answer = await session.query(text);
			sent.push({
				id: answer?.id, text, sentAt, index,
			});
			note(`client ${index}: ${text}, sent at ${at(sentAt)}: ${answer ? answer.lines.join(' / ') : 'no answer'}`);
			if (text.startsWith('WRITE')) {
				await wait(PAUSE_MS);
			}
		}

		session.close();
	}

	const clients = machines.map((_, index) => runClient(index));
	await wait(1000);
	let movedAt = Number.POSITIVE_INFINITY;
	if (hasTrouble) {
		writeConfiguration({tenants: createTenants([OLD_KEY], [MOVED, NEW_KEY])});
		movedAt = performance.now();
		note(`planned: a configuration takes key ${MOVED} from ${OLD} and gives it to ${NEW}`);
	}

	await Promise.all(clients);
	return sent.filter(({sentAt}) => sentAt > movedAt + Math.max(CONFIG_APPLY_MS, REVOKE_MS)).flatMap(({id, text, sentAt, index}) => {
		const run = service.ran.find(other => other.id === id);
		return run && run.team !== NEW ? [`UNASKED: ${run.database} runs "${text}" of client ${index}, sent at ${at(sentAt)}, as ${run.team}; its key is ${NEW}'s since ${at(movedAt)}`] : [];
	});
});
