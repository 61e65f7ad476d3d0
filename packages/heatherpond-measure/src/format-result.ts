/** Plain-text formatting of measurement results. */
import type {Figure, FigureGroup, MeasurementResult} from './measurement.js';

const NAME_WIDTH = 52;
const VALUE_WIDTH = 14;

function formatFigure(figure: Figure): string {
	const value = Number.isInteger(figure.value) ? String(figure.value) : figure.value.toPrecision(4);
	const verdict = figure.isMet === undefined ? '' : `  target ${figure.target}: ${figure.isMet ? 'met' : 'MISSED'}`;
	return `  ${figure.name.padEnd(NAME_WIDTH)}${value.padStart(VALUE_WIDTH)} ${figure.unit}${verdict}`;
}

function formatGroup(group: FigureGroup): string {
	return [group.title, ...group.figures.map(figure => formatFigure(figure))].join('\n');
}

/** Formats a measurement result for a terminal. */
export function formatResult(result: MeasurementResult): string {
	const broken = result.brokenPromises.map(line => `  broken: ${line}`);
	return [...result.groups.map(group => formatGroup(group)), `promises broken: ${result.brokenPromises.length}`, ...broken].join('\n');
}
