/** Parses the startup parameter `options`, which holds switches of the server's command line. */
import {createRequestError} from './postgres-error.js';
import {SQL_STATE} from './sql-states.js';

/** A variable that a switch sets. */
export type StartupOption = readonly [name: string, value: string];

/** One word; a backslash takes the meaning from the character that follows it. Only these characters are blanks to PostgreSQL. */
const WORD_PATTERN = /(?:\\[\s\S]|[^\\ \t\n\r\f\v])+/gv;
const ESCAPE_PATTERN = /\\(?<character>[\s\S])/gv;
/** The switch, and an assignment in the same word. */
const SWITCH_PATTERN = /^(?<flag>-c|--)(?<assignment>[\s\S]*)$/v;
/** PostgreSQL reads hyphens in the name as underscores. */
const ASSIGNMENT_PATTERN = /^(?<name>[a-z_][\w.\-]*)=(?<value>[\s\S]*)$/iv;

/**
 * Parses `-c NAME=VALUE` and `--NAME=VALUE`.
 *
 * @throws RequestError for other switches
 */
export function parseStartupOptions(text: string): readonly StartupOption[] {
	const words = [...text.matchAll(WORD_PATTERN)].map(([word]) => word.replaceAll(ESCAPE_PATTERN, '$<character>'));
	return parseWords(words);
}

function parseWords([first, ...rest]: readonly string[]): readonly StartupOption[] {
	if (first === undefined) {
		return [];
	}

	const groups = SWITCH_PATTERN.exec(first)?.groups;
	const isSeparate = groups?.flag === '-c' && groups.assignment === '';
	const assignment = ASSIGNMENT_PATTERN.exec((isSeparate ? rest[0] : groups?.assignment) ?? '')?.groups;
	if (!assignment) {
		throw createRequestError(SQL_STATE.notSupported, `startup option ${JSON.stringify([first, ...rest].join(' '))} cannot be used through transaction pooling`);
	}

	return [[assignment.name!.replaceAll('-', '_'), assignment.value!], ...parseWords(isSeparate ? rest.slice(1) : rest)];
}
