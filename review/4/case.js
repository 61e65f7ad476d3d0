/** Case 4: a host gets SIGTERM while transactions of its own clients wait behind those of other hosts for a database. */
import {performance} from 'node:perf_hooks';
import {createStatementId} from '../standin/client.js';
import {startDeployment} from '../standin/deployment.js';
import {runCase} from '../standin/run-case.js';
import {createStatementCheck} from '../standin/statements.js';
import {wait, waitFor} from '../standin/wait.js';

/** How often the host is stopped and started again. */
const ROUNDS = 5;
/** Sessions on each of the other hosts, for each service. */
const SESSIONS = 8;
/** From the connection of the clients to SIGTERM, in milliseconds. */
const LEAD_MS = 800;
/** BEGIN relative to SIGTERM, and the pause after the first statement, on the other hosts and on the one that is stopped, in milliseconds. */
const ELSEWHERE = {beginMs: -150, pauseMs: 2500};
const HERE = {beginMs: 2000, pauseMs: 500};
/** Statements of a transaction, and the longest pause between the later ones, in milliseconds. */
const STATEMENTS = 12;
const SHORT_PAUSE_MS = 5;
/** Time that a statement takes at the database, 18 ms in the mean, in milliseconds. */
const WORK_MS = 10;
const WORK_SPREAD_MS = 16;
/** Time after SIGTERM in which all transactions end, in milliseconds. */
const GRACE_MS = 6000;
const KEY = 'key-t1';

await runCase(import.meta.dirname, async ({record, isTroubled, defer}) => {
	const check = createStatementCheck(record.write);
	const services = ['sponsorship-db-1', 'sponsorship-db-2', 'sponsorship-db-3'];
	const deployment = await startDeployment({
		hosts: [{name: 'frontend-jhb-a-1', zone: 'jhb-a'}, {name: 'frontend-cpt-a-1', zone: 'cpt-a'}, {name: 'frontend-dbn-a-1', zone: 'dbn-a'}],
		tenants: Array.from({length: 8}, (_, index) => ({name: `t${index + 1}`, key: `key-t${index + 1}`})),
		services, record, handleRun: check.handleRun,
		serviceOptions: {readWorkMs: () => WORK_MS + (Math.random() * WORK_SPREAD_MS)},
	});
	defer(deployment.stop);
	const [stopped, ...others] = deployment.hosts;
	let transactions = 0;

	/** Sends one statement of a transaction; returns the answer. */
	async function sendStatement(session, name, text, transaction) {
		const id = createStatementId();
		check.recordSent({
			id, text, session: name, transaction, access: text.split(' ')[0],
		});
		record.write(`client ${name}: sends ${id} ${text} of ${transaction}`);
		const answer = await session.query(text, id);
		record.write(`client ${name}: ${id} is answered with ${answer.text ?? answer.kind}, READY ${answer.state ?? '-'}`);
		return answer;
	}

	/** Runs one transaction; it ends at the first answer that is no success. */
	async function runTransaction(session, name, pauseMs) {
		transactions++;
		const transaction = `x${transactions}`;
		const texts = Array.from({length: STATEMENTS}, (_, index) => index % 2 === 0 ? `WRITE ${name}-${index} ${transaction}` : `READ ${name}-${index}`);
		for (const [index, text] of ['BEGIN', ...texts, 'COMMIT'].entries()) {
			const answer = await sendStatement(session, name, text, transaction);
			if (answer.kind !== 'success' || (answer.state === 'I' && text !== 'COMMIT')) {
				if (answer.kind === 'error' && answer.state !== 'I') {
					await sendStatement(session, name, 'ROLLBACK', transaction);
				}

				return;
			}

			if (index > 0) {
				await wait(index === 1 ? pauseMs : Math.random() * SHORT_PAUSE_MS);
			}
		}
	}

	async function runClient(host, {name, service, stopAt, times: {beginMs, pauseMs}}) {
		const session = await host.open(`recon-${service}`, KEY);
		await wait(Math.max(0, stopAt + beginMs - performance.now()));
		await runTransaction(session, name, pauseMs);
		session.close();
	}

	/** Runs transactions through all hosts, and stops and starts one of them meanwhile. */
	async function runRound() {
		const ends = stopped.exits.length;
		const stopAt = performance.now() + LEAD_MS;
		const clients = services.flatMap((_, service) => [
			runClient(stopped, {
				name: `own${service}`, service, stopAt, times: HERE,
			}),
			...others.flatMap((host, number) => Array.from({length: SESSIONS}, async (__, index) => runClient(host, {
				name: `other${number}${service}${index}`, service, stopAt, times: ELSEWHERE,
			}))),
		]);
		await wait(LEAD_MS);
		if (isTroubled) {
			stopped.signal('SIGTERM');
		}

		await Promise.all([...clients, wait(GRACE_MS)]);
		if (isTroubled) {
			await waitFor(() => stopped.exits.length > ends, `${stopped.name} to end`);
			await stopped.start();
		}

		await wait(4000);
	}

	await Promise.all(deployment.hosts.map(async host => host.start()));
	await wait(3000);
	for (let round = 0; round < ROUNDS; round++) {
		await runRound();
	}

	const count = wanted => check.broken.filter(({rule}) => rule === wanted).length;
	return {
		outcome: check.broken.length > 0 ? 'broken' : 'held',
		text: `PINNED broken ${count('PINNED')} times, UNASKED ${count('UNASKED')} times`,
	};
});
