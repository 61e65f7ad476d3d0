/** Renders a measurement result as a self-contained HTML page with a table and a bar chart per figure. */
import * as echarts from 'echarts';
import type {Figure, FigureGroup, MeasurementResult} from '../measurement.js';

const PLOT_WIDTH = 900;
const ROW_HEIGHT = 26;
const PLOT_MARGIN = 60;

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 60rem; color: #222; }
table { border-collapse: collapse; margin: 1rem 0; }
th, td { border: 1px solid #ccc; padding: .25rem .6rem; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.broken { color: #b00020; }
.kept { color: #1b6e2c; }
`;

function formatHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

/** Returns the name of a figure without parenthesized parts, which vary between groups. */
function readPlotName(figure: Figure): string {
	return figure.name.replaceAll(/ \([^\)]*\)/gv, '');
}

function formatValue(figure: Figure): string {
	return figure.unit === 'share' ? `${(figure.value * 100).toFixed(2)} %` : `${Number(figure.value.toPrecision(4))}`;
}

function renderPlot(name: string, unit: string, groups: readonly FigureGroup[]): string {
	const height = (groups.length * ROW_HEIGHT) + PLOT_MARGIN;
	const chart = echarts.init(undefined, undefined, {
		renderer: 'svg', ssr: true, width: PLOT_WIDTH, height,
	});
	chart.setOption({
		animation: false,
		title: {text: `${name} (${unit})`, textStyle: {fontSize: 14}},
		grid: {
			left: 330, right: 80, top: 36, bottom: 20,
		},
		xAxis: {type: 'value'},
		yAxis: {type: 'category', inverse: true, data: groups.map(group => group.title)},
		series: [{
			type: 'bar',
			data: groups.map(group => Number((group.figures.find(figure => readPlotName(figure) === name)?.value ?? 0).toPrecision(4))),
			label: {show: true, position: 'right'},
		}],
	});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return svg;
}

function renderTable(groups: readonly FigureGroup[]): string {
	const names = groups[0]!.figures.map(figure => readPlotName(figure));
	const head = names.map(name => `<th>${formatHtml(name)}</th>`).join('');
	const rows = groups.map(group => {
		const cells = names.map(name => {
			const figure = group.figures.find(candidate => readPlotName(candidate) === name);
			return `<td>${figure ? formatHtml(formatValue(figure)) : ''}</td>`;
		});
		return `<tr><td>${formatHtml(group.title)}</td>${cells.join('')}</tr>`;
	});
	return `<table><tr><th></th>${head}</tr>${rows.join('')}</table>`;
}

function renderViolations(result: MeasurementResult): string {
	if (result.brokenPromises.length === 0) {
		return '<p class="kept">No promise was broken.</p>';
	}

	const lines = result.brokenPromises.map(line => `<li>${formatHtml(line)}</li>`).join('');
	return `<p class="broken">${result.brokenPromises.length} promises were broken:</p><ul>${lines}</ul>`;
}

/** Renders the HTML page. The figures of the first group determine the columns and charts. */
export function renderReport(result: MeasurementResult): string {
	const [first] = result.groups;
	const plots = (first?.figures ?? []).map(figure => renderPlot(readPlotName(figure), figure.unit, result.groups));
	const body = `<h1>heatherpond: ${formatHtml(result.name)}</h1>${renderViolations(result)}${first ? renderTable(result.groups) : ''}${plots.join('')}`;
	return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>heatherpond: ${formatHtml(result.name)}</title><style>${STYLE}</style></head><body>${body}</body></html>\n`;
}
