/** Port for request metrics: gates record them, an adapter exports them. */

/** Stage of a request: waiting for admission, waiting for a database slot, running in the database. */
export type RequestStage = 'admission' | 'slot' | 'upstream';

/** Labels of a measurement: the team of the request and the group that it addresses. */
export type MetricSubject = {readonly team: string; readonly group: string};

/** Records measurements. It is called several times per request and must be cheap. */
export type MetricsRecorder = {
	/** Records the time that one request spent in a stage, in milliseconds. */
	readonly recordDuration: (stage: RequestStage, subject: MetricSubject, elapsedMs: number) => void;
	/** Counts a rejected request. */
	readonly countRefusal: (subject: MetricSubject, reason: string) => void;
};
