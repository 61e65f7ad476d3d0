/** Seeded random number generator for loads. */
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** A deterministic random number generator: the same seed yields the same sequence. */
export type Random = {
	/** Returns a number in the range [0, 1). */
	readonly readShare: () => number;
	/** Returns an integer in the range [0, `limit`). */
	readonly readIndex: (limit: number) => number;
	/** Returns an exponentially distributed interval with the given mean, as between arrivals of a Poisson process. */
	readonly readArrivalInterval: (mean: number) => number;
};

const RESOLUTION = 2 ** 30;

/** Creates a random number generator from a seed. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	function readShare(): number {
		return unsafeUniformIntDistribution(0, RESOLUTION - 1, generator) / RESOLUTION;
	}

	return {
		readShare,
		readIndex: limit => unsafeUniformIntDistribution(0, limit - 1, generator),
		readArrivalInterval: mean => -Math.log(1 - readShare()) * mean,
	};
}
