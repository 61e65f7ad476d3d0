/** Formats tables for the terminal. */

/** Formats a header and rows as lines with aligned columns. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): readonly string[] {
	const all = [header, ...rows];
	const widths = header.map((_title, column) => Math.max(...all.map(row => row[column]?.length ?? 0)));
	return all.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd());
}
