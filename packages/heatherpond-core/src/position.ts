/** Log positions of database groups, and comparison of database histories. */
import * as z from 'zod';

/** A position in the write-ahead log of a group: the term in which it was written and the offset in bytes. */
export const logPointSchema = z.object({
	term: z.number().int().nonnegative(),
	position: z.bigint().nonnegative(),
});

export type LogPosition = z.infer<typeof logPointSchema>;

/** Start of a term on the group's log: positions up to and including `start` were written in earlier terms. */
export const termStartSchema = z.object({
	term: z.number().int().nonnegative(),
	start: z.bigint().nonnegative(),
});

export type TermStart = z.infer<typeof termStartSchema>;

/**
 * Returns whether a history that ends at `reached` contains the point `required`.
 *
 * A point of an earlier term is contained only if no later term, up to the term of `reached`, started before it.
 *
 * @param reached - end of a database's history
 * @param required - point that the history must contain
 * @param termStarts - starts of the group's terms, in any order; returns false if the one of the reached term is
 * missing
 */
export function isIncluded(reached: LogPosition, required: LogPosition, termStarts: readonly TermStart[]): boolean {
	if (reached.position < required.position || reached.term < required.term) {
		return false;
	}

	return isSurviving(required, reached.term, termStarts);
}

/**
 * Returns whether a point survived every promotion after its own term, up to and including `term`.
 *
 * @param point - point written in its term
 * @param term - the same or a later term
 * @param termStarts - starts of the group's terms; returns false for a later `term` whose start is missing
 */
export function isSurviving(point: LogPosition, term: number, termStarts: readonly TermStart[]): boolean {
	const later = termStarts.filter(termStart => termStart.term > point.term && termStart.term <= term);
	const hasEveryTerm = later.some(termStart => termStart.term === term) || term === point.term;
	return hasEveryTerm && later.every(termStart => termStart.start >= point.position);
}
