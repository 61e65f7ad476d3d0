/** Rendezvous hashing: all hosts derive the same order of names without coordination. */
import {createHash} from 'node:crypto';

/** Orders names by their rendezvous hash for a subject, highest first; ties are broken by name. */
export function orderByRendezvous(names: readonly string[], subject: string): string[] {
	return names
		.map(name => ({name, weight: readWeight(subject, name)}))
		.toSorted((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
		.map(item => item.name);
}

function readWeight(subject: string, name: string): number {
	return createHash('sha256').update(`${subject}/${name}`).digest().readUInt32BE(0);
}
