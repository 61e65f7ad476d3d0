/** Errors of the core layer. */
import ModernError from 'modern-errors';

/** Base class of all errors of the core; `code` is the machine-readable cause. */
export const CoreError = ModernError.subclass('CoreError', {props: {code: 'core'}});

/** An invariant of the core was violated: a bug in the program, never caused by its input. */
export const InvariantError = CoreError.subclass('InvariantError', {props: {code: 'invariant'}});

/**
 * Checks an invariant.
 *
 * @param condition - the condition that must hold
 * @param code - short stable name of the invariant
 * @param message - the expected condition and the actual values
 * @throws InvariantError when the condition does not hold
 */
export function checkInvariant(condition: boolean, code: string, message: string): asserts condition {
	if (!condition) {
		throw new InvariantError(`${code}: ${message}`, {props: {code}});
	}
}
