/** Gate decorators that record waiting times, processing times and refusals as metrics. */
import {
	RefusalError, type Clock, type DatabaseGate, type MetricsRecorder, type MetricSubject, type RequestGate, type RequestTicket, type RequestStage,
} from 'heatherpond-core';

/** Dependencies of the measuring gates. */
export type MeasuredGateOptions = {readonly metrics: MetricsRecorder; readonly clock: Clock};

/** Waits for a gate and records the waiting time, or counts the refusal. */
async function waitMeasured<Result>({metrics, clock}: MeasuredGateOptions, stage: RequestStage, {subject, wait}: {readonly subject: MetricSubject; readonly wait: () => Promise<Result>}): Promise<Result> {
	const startedAt = clock.readNow();
	try {
		const result = await wait();
		metrics.recordDuration(stage, subject, clock.readNow() - startedAt);
		return result;
	} catch (error) {
		if (error instanceof RefusalError) {
			metrics.countRefusal(subject, error.reason);
		}

		throw error;
	}
}

function readSubject({team, group}: RequestTicket): MetricSubject {
	return {team, group};
}

/** Wraps a request gate with metrics. */
export function createMeasuredRequestGate(gate: RequestGate, options: MeasuredGateOptions): RequestGate {
	return {
		...gate,
		admit: async ticket => waitMeasured(options, 'admission', {subject: readSubject(ticket), wait: async () => gate.admit(ticket)}),
	};
}

/** Wraps a database gate with metrics. */
export function createMeasuredDatabaseGate(gate: DatabaseGate, options: MeasuredGateOptions): DatabaseGate {
	return {
		...gate,
		async acquire(ticket, database) {
			const subject = readSubject(ticket);
			const permit = await waitMeasured(options, 'slot', {subject, wait: async () => gate.acquire(ticket, database)});
			const startedAt = options.clock.readNow();
			let isReleased = false;
			return {
				...permit,
				release(outcome) {
					if (!isReleased) {
						isReleased = true;
						options.metrics.recordDuration('upstream', subject, options.clock.readNow() - startedAt);
					}

					permit.release(outcome);
				},
			};
		},
	};
}
