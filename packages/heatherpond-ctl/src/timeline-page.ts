/** Event timeline as a self-contained HTML page: a chart with a row for each host, and the events as text. */
import {init, use} from 'echarts/core';
import {ScatterChart} from 'echarts/charts';
import {GridComponent, LegendComponent} from 'echarts/components';
import {SVGRenderer} from 'echarts/renderers';
import type {FleetEvent} from 'heatherpond-core';
import {formatEvent} from 'heatherpond-observe';

use([ScatterChart, GridComponent, LegendComponent, SVGRenderer]);

const CHART_WIDTH_PX = 1200;
const LANE_HEIGHT_PX = 46;
const CHART_FRAME_HEIGHT_PX = 160;

const ESCAPES: Readonly<Record<string, string>> = {
	'&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;',
};

function formatHtmlText(text: string): string {
	return text.replaceAll(/[&<>"]/gv, character => ESCAPES[character]!);
}

/** Renders a chart of the events as SVG, with a row for each host. */
function renderChart(events: readonly FleetEvent[]): string {
	const hosts = [...new Set(events.map(event => event.at.host))].toSorted();
	const kinds = [...new Set(events.map(event => event.kind))];
	const chart = init(null, null, {
		renderer: 'svg', ssr: true, width: CHART_WIDTH_PX, height: CHART_FRAME_HEIGHT_PX + (LANE_HEIGHT_PX * hosts.length),
	});
	chart.setOption({
		animation: false,
		legend: {top: 0, type: 'plain'},
		grid: {
			left: 120, right: 30, top: 90, bottom: 40,
		},
		xAxis: {type: 'time'},
		yAxis: {
			type: 'category', data: hosts, inverse: true, splitLine: {show: true},
		},
		series: kinds.map(kind => ({
			name: kind, type: 'scatter', symbolSize: 11, data: events.filter(event => event.kind === kind).map(event => [event.at.wallMs, event.at.host]),
		})),
	});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return svg;
}

/** Renders the HTML page. */
export function renderTimeline(events: readonly FleetEvent[], remarks: readonly string[]): string {
	const chart = events.length > 0 ? renderChart(events) : '<p>No event matches.</p>';
	const lines = [...events.map(event => formatEvent(event)), ...remarks.map(remark => `# ${remark}`)];
	return [
		'<!doctype html>',
		'<html lang="en"><head><meta charset="utf-8"><title>heatherpond event timeline</title>',
		'<style>body{font:14px sans-serif;margin:1.5em}pre{font-size:12px;overflow-x:auto}</style></head><body>',
		'<h1>Event timeline</h1>',
		chart,
		`<pre>${formatHtmlText(lines.join('\n'))}</pre>`,
		'</body></html>',
	].join('\n');
}
