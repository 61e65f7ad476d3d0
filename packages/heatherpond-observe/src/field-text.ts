/** Makes texts that clients, databases and the operator chose fit for one line of a log or report. */

/** Characters of a field that a line holds; a stack trace fits. */
const MAX_FIELD_LENGTH = 2048;
/** Characters that end a line for some reader of it, or that cannot be written. */
const UNWRITABLE = /[\p{Cc}\p{Zl}\p{Zp}\p{Cs}]/gv;

/** Formats a text: cuts it to a bounded length, and replaces the characters that do not belong into a line by their numbers. */
export function formatFieldText(text: string): string {
	return text.slice(0, MAX_FIELD_LENGTH).replaceAll(UNWRITABLE, character => String.raw`\u${character.codePointAt(0)!.toString(16).padStart(4, '0')}`);
}
