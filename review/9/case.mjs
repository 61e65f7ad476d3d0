/** Statements that still wait for the database when a process ends on SIGTERM: their connections are closed without an answer. */
/* eslint camelcase: off -- the names are those of the configuration */
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {openSession, createId} from '../standins-2/client.mjs';
import {
	hasTrouble, ROUTES, runCase, startDeployment, TENANT, wait,
} from '../standins-2/deployment.mjs';

const SESSIONS = 210;
/** Time that a write takes, in ms: the longest of the route's requests in the site file. */
const WORK_MS = 45;
const TIMEOUT_MS = 7000;
/** Time after which a client gives an operation up. */
const DEADLINE_MS = 8000;
const GRACE_MS = 6000;
const LOSS_SLACK_MS = 200;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({note, onEnd, at}) => {
	const {service, machines, writeConfiguration, stop} = await startDeployment({databases: [{id: 'i-1a'}, {id: 'i-2b'}, {id: 'i-3c'}], workMs: () => WORK_MS});
	onEnd(stop);
	note(`planned: a configuration sets the time-out of the route to ${TIMEOUT_MS} ms`);
	writeConfiguration({}, {primary: {timeout_ms: TIMEOUT_MS}});
	await wait(5000);
	const statements = [];
	const lifetime = new AbortController();

	/** Writes one item after the other; comes back a second after a refusal. */
	async function runClient(index) {
		// The platform picks machines by a hash, so their shares are uneven: the first one has half of the sessions.
		const machine = machines[[0, 1, 0, 2][index % 4]];
		const session = await openSession({address: machine.address, database: ROUTES.primary, key: TENANT.key});
		while (!session.isClosed() && !lifetime.signal.aborted) {
			const statement = {id: createId(), machine, sentAt: performance.now()};
			statements.push(statement);
			const leave = setTimeout(() => {
				statement.hasLeft = true;
				session.destroy();
			}, DEADLINE_MS);
			const answer = await session.query(`WRITE item-${index} v`, statement.id);
			clearTimeout(leave);
			statement.endedAt = performance.now();
			statement.outcome = answer ? (answer.code ?? 'COMPLETE') : 'none';
			await wait(answer?.isServed ? 50 : 1000);
		}

		session.close();
	}

	const clients = Array.from({length: SESSIONS}, async (_, index) => runClient(index));
	await wait(6000);
	const [machine] = machines;
	const termAt = performance.now();
	if (hasTrouble) {
		note(`planned: SIGTERM to ${machine.name}`);
		machine.child.kill('SIGTERM');
	}

	await wait(GRACE_MS + 500);
	lifetime.abort();
	await Promise.all(clients);
	const {exit} = machine;
	note(exit ? `${machine.name} has ended ${Math.round(exit.at - termAt)} ms after the signal: exit code ${exit.code}, signal ${exit.signal}` : `${machine.name} runs on`);
	machines.forEach(({name}) => {
		const outcomes = statements.filter(statement => statement.machine.name === name).map(({outcome}) => outcome);
		note(`${name}: ${[...new Set(outcomes)].map(outcome => `${outcome} ${outcomes.filter(other => other === outcome).length}`).join(', ')}`);
	});
	const unanswered = statements.filter(({outcome, hasLeft, sentAt, endedAt}) => outcome === 'none' && !hasLeft && endedAt > termAt && sentAt < termAt + GRACE_MS);
	unanswered.forEach(({id, sentAt, endedAt}) => {
		note(`${id}: sent ${Math.round(sentAt - termAt)} ms after the signal, connection ended ${Math.round(endedAt - sentAt)} ms later without an answer, passed on to a database: ${service.received.has(id)}`);
	});
	// What was passed on may be excused by the work of the database in the last sixth of the grace, and is left out.
	return unanswered
		.filter(({id, sentAt, endedAt}) => !service.received.has(id) && endedAt > sentAt + LOSS_SLACK_MS && endedAt < sentAt + TIMEOUT_MS)
		.map(({id, sentAt, endedAt}) => `LOST: ${id}, sent at ${at(sentAt)}, waited for ${Math.round(endedAt - sentAt)} ms of ${TIMEOUT_MS} and was passed on to no database; its connection ended at ${at(endedAt)} without an answer`);
});
