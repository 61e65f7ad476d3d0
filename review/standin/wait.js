/** Waiting on the real clock. */
export async function wait(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** Waits until a condition holds; rejects after the time limit. */
export async function waitFor(isMet, description, limitMs = 20_000) {
	const end = performance.now() + limitMs;
	while (!await isMet()) {
		if (performance.now() > end) {
			throw new Error(`timed out waiting for ${description}`);
		}

		await wait(5);
	}
}
