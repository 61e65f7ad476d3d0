import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {
	createFakeClock, createHostBlackboard, RefusalError, type DatabaseGate, type RequestTicket,
} from 'heatherpond-core';
import {createMetrics} from 'heatherpond-observe';
import {createMeasuredDatabaseGate, createMeasuredRequestGate} from '../../gates/measured-gates.js';
import type {HostContext} from '../../wiring/host-context.js';
import {startMetrics} from '../../wiring/start-metrics.js';

const stop = new AbortController();
const TICKET: RequestTicket = {
	requestId: 'r', team: 'durban', group: 'g', cost: 1, bytes: 1, deadline: 1000, signal: stop.signal,
};

afterEach(() => {
	stop.abort();
});

describe('measured gates', () => {
	test('record waiting times, processing times (once per permit) and refusals', async () => {
		const clock = createFakeClock();
		const metrics = createMetrics([]);
		const released: string[] = [];
		const gate: DatabaseGate = {
			async acquire() {
				clock.advanceBy(20);
				return {
					release(outcome) {
						released.push(outcome);
					},
				};
			},
			readExpectedWait: () => 3,
		};
		const measured = createMeasuredDatabaseGate(gate, {metrics, clock});
		const permit = await measured.acquire(TICKET, 'db1');
		clock.advanceBy(50);
		permit.release('answered');
		permit.release('answered');
		const refusing = createMeasuredRequestGate({
			async admit() {
				throw new RefusalError('no', {props: {reason: 'over_rate', retryAfterMs: 5}});
			},
		}, {metrics, clock});
		await expect(refusing.admit(TICKET)).rejects.toThrow('no');
		const text = await metrics.renderMetrics();

		expect(measured.readExpectedWait('g', 'db1')).toBe(3);
		expect(released).toEqual(['answered', 'answered']);
		expect(text).toContain('heatherpond_stage_requests{stage="slot",team="durban",group="g"} 1');
		expect(text).toContain('heatherpond_stage_requests{stage="upstream",team="durban",group="g"} 1');
		expect(text).toContain('heatherpond_refusals_total{team="durban",group="g",reason="over_rate"} 1');
		expect(text).not.toContain('stage="admission"');
	});
});

describe('metrics HTTP server', () => {
	test('serves metrics at /metrics only, and closes with the signal', async () => {
		const server = new AbortController();
		const clock = createFakeClock(500);
		const blackboard = createHostBlackboard({
			host: 'h1', incarnation: 'i', domain: 'd', deployment: 'x', peerAddress: '127.0.0.1:1',
		});
		blackboard.update(state => ({...state, stamp: {version: 0, verifiedAt: 200}}));
		const {port} = await startMetrics({
			settings: {metricsListen: '127.0.0.1:0'}, blackboard, clock, signal: server.signal,
		} as unknown as HostContext);
		const response = await fetch(`http://127.0.0.1:${port}/metrics`);
		const other = await fetch(`http://127.0.0.1:${port}/`);

		expect(await response.text()).toContain('heatherpond_stamp_age_milliseconds 300');
		expect(other.status).toBe(404);
		server.abort();
		await expect(fetch(`http://127.0.0.1:${port}/metrics`)).rejects.toThrow();
	});
});
