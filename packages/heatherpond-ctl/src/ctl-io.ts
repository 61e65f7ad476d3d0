/** Interface between the command line tool and the process that runs it. */
import type {Clock} from 'heatherpond-core';

/** Access to environment variables, files, terminal, clock and random numbers; tests replace it. */
export type CtlIo = {
	readonly env: Readonly<Record<string, string | undefined>>;
	readonly readFile: (path: string) => Promise<string>;
	/** Reads the body of a successful HTTP response. */
	readonly readUrl: (url: string) => Promise<string>;
	/** Prints a line of the result. */
	readonly writeOutput: (line: string) => void;
	/** Prints a line of diagnostics. */
	readonly writeError: (line: string) => void;
	readonly clock: Clock;
	/** Creates a globally unique id. */
	readonly createId: () => string;
	/** Creates a random secret key. */
	readonly createKey: () => string;
	readonly signal: AbortSignal;
};

/** Result of a command. */
export type CommandResult = {
	/** Lines to print without `--json`. */
	readonly lines: readonly string[];
	/** Value to print with `--json`. */
	readonly json: unknown;
	/** Exit code; 0 if absent. */
	readonly exitCode?: number;
};
