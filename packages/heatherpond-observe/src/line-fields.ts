/** Formats fields as one line of key=value pairs, whatever characters their texts hold. */
import logfmt from 'logfmt';

/** Characters that would end a line, or control the terminal that shows it. */
const CONTROL_PATTERN = /[\p{Cc}\u2028\u2029]/gv;

/** Formats fields in logfmt; control characters are shown as `\u` and four hexadecimal digits, as in JSON. */
export function formatLineFields(fields: Readonly<Record<string, unknown>>): string {
	return logfmt.stringify(Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, typeof value === 'string' ? convertControlCharacters(value) : value])));
}

function convertControlCharacters(text: string): string {
	return text.replaceAll(CONTROL_PATTERN, character => String.raw`\u${character.codePointAt(0)!.toString(16).padStart(4, '0')}`);
}
