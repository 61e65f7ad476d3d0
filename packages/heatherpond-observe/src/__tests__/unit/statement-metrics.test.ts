import {describe, expect, test} from '@jest/globals';
import {createStatementMetrics} from '../../index.js';

describe('statement metrics', () => {
	test('statements are counted by route, outcome and database, with quantiles of their durations', async () => {
		const metrics = createStatementMetrics([{name: 'heatherpond_sessions', help: 'Open sessions', read: () => 3}]);
		Array.from({length: 99}).forEach(() => {
			metrics.recordStatement({
				route: 'shop', outcome: 'served', database: 'db-1', elapsedMs: 2,
			});
		});
		metrics.recordStatement({
			route: 'shop', outcome: 'served', database: 'db-1', elapsedMs: 500,
		});
		metrics.recordStatement({route: 'shop', outcome: 'busy', elapsedMs: 1});
		const text = await metrics.renderMetrics();
		expect(text).toContain('heatherpond_statements_total{route="shop",outcome="served",database="db-1"} 100');
		expect(text).toContain('heatherpond_statements_total{route="shop",outcome="busy",database=""} 1');
		expect(text).toContain('heatherpond_sessions 3');
		const longest = /quantile="0.999"\} ([\d.]+)/v.exec(text)?.[1];
		expect(Number(longest)).toBeGreaterThan(490);
	});

	test('statements of further routes are counted as other once the number of series is at its bound', async () => {
		const metrics = createStatementMetrics([]);
		Array.from({length: 2000}, (_, index) => index).forEach(index => {
			metrics.recordStatement({
				route: `route-${index}`, outcome: 'served', database: 'db-1', elapsedMs: 1,
			});
		});
		const text = await metrics.renderMetrics();
		expect(text.split('\n').filter(line => line.startsWith('heatherpond_statements_total')).length).toBeLessThanOrEqual(401);
		expect(text).toContain('heatherpond_statements_total{route="other",outcome="served",database="other"} 1600');
	});

	// Guards against statements of one route that are counted as those of another, whose name has blanks.
	test('statements whose route, outcome and database make the same text are counted apart, and labels are escaped', async () => {
		const metrics = createStatementMetrics([]);
		metrics.recordStatement({
			route: 'a served', outcome: 'busy', database: 'x', elapsedMs: 1,
		});
		metrics.recordStatement({
			route: 'a', outcome: 'served', database: 'busy x', elapsedMs: 1,
		});
		metrics.recordStatement({route: 'line\n"\\', outcome: 'served', elapsedMs: 1});
		const text = await metrics.renderMetrics();
		expect(text).toContain('heatherpond_statements_total{route="a served",outcome="busy",database="x"} 1');
		expect(text).toContain('heatherpond_statements_total{route="a",outcome="served",database="busy x"} 1');
		expect(text).toContain(String.raw`heatherpond_statements_total{route="line\n\"\\",outcome="served",database=""} 1`);
	});
});
