/** Errors and exit codes of `heatherpondctl`. */
import ModernError from 'modern-errors';

/** Exit codes of `heatherpondctl`. */
export const EXIT = {
	done: 0,
	failed: 1,
	/** Invalid arguments or an unusable file; nothing was changed. */
	badInput: 2,
	/** A concurrent change was accepted first; of this command, only the changes that it reports as accepted took effect. */
	conflict: 3,
	/** The change was accepted, but was not in force on every host before the timeout. */
	notInForce: 4,
	/** No host responded, or the outcome is unknown; repeat the command with the operation id that it printed. */
	unavailable: 5,
	/** A host rejected the call; nothing was changed. */
	refused: 6,
} as const;

export type ExitCode = typeof EXIT[keyof typeof EXIT];

/** A command failed; `reason`, or the message if it is empty, is printed for the operator. */
export const CtlError = ModernError.subclass('CtlError', {props: {exitCode: EXIT.failed as ExitCode, reason: ''}});

/** Formats an error for the operator. */
export function formatError(error: unknown): string {
	return error instanceof CtlError && error.reason !== '' ? error.reason : (error as Error).message;
}
