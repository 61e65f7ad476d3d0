import {describe, expect, test} from '@jest/globals';
import {createMetrics} from '../../metrics.js';

const SUBJECT = {team: 'durban', group: 'g'};

describe('metrics', () => {
	test('durations, refusals and gauges are rendered in the exposition format', async () => {
		const metrics = createMetrics([{name: 'log_version', help: 'version', read: () => 7}]);
		[1, 2, 3, 100].forEach(elapsedMs => {
			metrics.recordDuration('upstream', SUBJECT, elapsedMs);
		});
		metrics.countRefusal(SUBJECT, 'over_rate');
		const text = await metrics.renderMetrics();

		expect(text).toContain('log_version 7');
		expect(text).toContain('heatherpond_refusals_total{team="durban",group="g",reason="over_rate"} 1');
		expect(text).toContain('heatherpond_stage_requests{stage="upstream",team="durban",group="g"} 4');
		const median = /quantile="0\.5"\} (?<value>[\d.]+)/v.exec(text)?.groups?.value;
		expect(Number(median)).toBeCloseTo(2, 1);
	});

	test('durations of further teams are recorded as other once the number of series is at its bound', async () => {
		const metrics = createMetrics([]);
		Array.from({length: 1500}).forEach((_, index) => {
			metrics.recordDuration('slot', {team: `t${index}`, group: 'g'}, 1);
		});
		const text = await metrics.renderMetrics();

		expect(text).toContain('heatherpond_stage_requests{stage="slot",team="other",group="other"} 500');
	});

	test('durations outside the range of the histogram are still counted', async () => {
		const metrics = createMetrics([]);
		metrics.recordDuration('admission', SUBJECT, 1e9);
		metrics.recordDuration('admission', SUBJECT, -1);

		expect(await metrics.renderMetrics()).toContain('heatherpond_stage_requests{stage="admission",team="durban",group="g"} 2');
	});

	// Guards against requests of one team that are counted as those of another.
	test('requests of teams and groups whose names make the same text are counted apart', async () => {
		const metrics = createMetrics([]);
		metrics.recordDuration('slot', {team: 'a b', group: 'c'}, 1);
		metrics.recordDuration('slot', {team: 'a', group: 'b c'}, 1);
		const text = await metrics.renderMetrics();
		expect(text).toContain('heatherpond_stage_requests{stage="slot",team="a b",group="c"} 1');
		expect(text).toContain('heatherpond_stage_requests{stage="slot",team="a",group="b c"} 1');
	});
});
