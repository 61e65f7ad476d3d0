/** Record of a case: what was sent, answered and run. */
import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

/** Creates a record whose lines begin with the seconds since its creation. */
export function createRecord(file) {
	const startedAt = performance.now();
	const lines = [];
	return {
		write(text) {
			lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(9)} s  ${text}`);
		},
		save() {
			writeFileSync(file, `${lines.join('\n')}\n`);
		},
	};
}
