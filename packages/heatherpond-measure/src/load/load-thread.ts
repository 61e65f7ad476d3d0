/** Worker thread that generates the load, so that clients do not share an event loop with the hosts. */
import {setMaxListeners} from 'node:events';
import {parentPort, workerData} from 'node:worker_threads';
import {createSystemClock} from 'heatherpond-core';
import {loadPlanSchema, type LoadPlan, type TeamLoad} from './load-plan.js';
import {runLoadSession} from './load-session.js';
import {createRandom} from './random.js';
import type {RequestRecord} from './request-record.js';

const BATCH_RECORDS = 200;

async function runLoad(plan: LoadPlan): Promise<void> {
	const clock = createSystemClock();
	const startedAt = clock.readNow();
	const stop = new AbortController();
	setMaxListeners(0, stop.signal);
	let batch: RequestRecord[] = [];

	function sendBatch(): void {
		parentPort!.postMessage(batch);
		batch = [];
	}

	function writeRecord(record: RequestRecord): void {
		batch.push(record);
		if (batch.length >= BATCH_RECORDS) {
			sendBatch();
		}
	}

	async function runTeam(team: TeamLoad, teamIndex: number): Promise<void> {
		await Promise.all(Array.from({length: team.sessions}, async (_value, index) => {
			const random = createRandom(plan.seed + (teamIndex * 10_007) + index);
			await runLoadSession({
				plan,
				team,
				name: `${team.team}-${index}`,
				route: team.routes[index % team.routes.length]!,
				isStaleReader: index < team.sessions * plan.staleReadShare,
				random,
				clock,
				startedAt,
				writeRecord,
				signal: stop.signal,
			});
		}));
	}

	await Promise.all(plan.teams.map(async (team, index) => runTeam(team, index)));
	sendBatch();
	parentPort!.close();
}

await runLoad(loadPlanSchema.parse(workerData));
