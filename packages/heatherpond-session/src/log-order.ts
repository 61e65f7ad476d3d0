/** Order of positions in the log of a database group. */
import type {LogPosition} from 'heatherpond-core';

/** Compares two log positions by term, then offset; negative when the first one is older. */
export function compareLogPositions(left: LogPosition, right: LogPosition): number {
	if (left.term !== right.term) {
		return left.term - right.term;
	}

	return left.position < right.position ? -1 : Number(left.position > right.position);
}

/** Finds the newer of two log positions, either of which may be missing. */
export function findNewerPosition(left: LogPosition | undefined, right: LogPosition | undefined): LogPosition | undefined {
	if (!left || !right) {
		return left ?? right;
	}

	return compareLogPositions(left, right) >= 0 ? left : right;
}
