/** Checks the consistency guarantees: compares the responses that clients received with the rows stored afterwards. */
import type {RequestRecord} from './request-record.js';

/** A row stored on a primary after the load. */
export type FinalRow = {readonly key: string; readonly value: string};

/** Client records of a load and the rows stored after it. */
export type GuaranteeCheckInput = {
	readonly records: readonly RequestRecord[];
	/** Rows stored on the primaries of all groups. */
	readonly rows: readonly FinalRow[];
};

/**
 * Finds violations of the consistency guarantees, one line each: lost, falsely refused, mixed-up or duplicate writes, and
 * reads that returned a wrong value or missed a write of their own session.
 */
export function findGuaranteeViolations({records, rows}: GuaranteeCheckInput): readonly string[] {
	const stored = new Map(rows.map(row => [row.key, row.value]));
	const writes = records.filter(record => record.kind === 'write');
	return [
		...writes.filter(record => record.outcome === 'answered' && !stored.has(record.key)).map(record => `lost: acknowledged write ${record.key} is stored on no primary`),
		...writes.filter(record => record.outcome === 'notRun' && stored.has(record.key)).map(record => `falsely refused: write ${record.key} ran although reported as not run (${record.code})`),
		...writes.filter(record => stored.has(record.key) && stored.get(record.key) !== record.expected).map(record => `mixed: row ${record.key} holds the value of another request`),
		...findDuplicateRows(rows),
		...records.flatMap(record => findReadViolations(record)),
	];
}

function findDuplicateRows(rows: readonly FinalRow[]): readonly string[] {
	const seen = new Set<string>();
	return rows.flatMap(row => {
		const isDuplicate = seen.has(row.key);
		seen.add(row.key);
		return isDuplicate ? [`doubled: row ${row.key} is stored in more than one group`] : [];
	});
}

function findReadViolations(record: RequestRecord): readonly string[] {
	if (record.kind === 'write' || record.outcome !== 'answered' || record.found === record.expected) {
		return [];
	}

	if (record.found !== undefined) {
		return [`mixed: the read of ${record.key} returned the wrong value ${JSON.stringify(record.found)}`];
	}

	return record.kind === 'ownRead' ? [`stale: session ${record.session} did not read its own acknowledged write ${record.key}`] : [];
}
