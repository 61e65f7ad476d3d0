import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {
	createFakeClock, createHostBlackboard, createPrimacyBlackboard, type Change, type FakeClock, type HostBlackboard, type PrimacyBlackboard,
} from 'heatherpond-core';
import {applyEntries, applyFullView} from '../../controllers/log-follower.js';
import {startPrimacyTracker} from '../../controllers/primacy-tracker.js';

let clock: FakeClock;
let blackboard: HostBlackboard;
let primacy: PrimacyBlackboard;
let stop: AbortController;

beforeEach(() => {
	clock = createFakeClock(0);
	stop = new AbortController();
	blackboard = createHostBlackboard({
		host: 'h', incarnation: '1', domain: 'd', deployment: 'x', peerAddress: 'p',
	});
	primacy = createPrimacyBlackboard(0);
	startPrimacyTracker({
		blackboard, primacy, clock, timings: {termLeaseMs: 1000}, signal: stop.signal,
	});
	clock.advanceTo(5000);
});

afterEach(() => {
	stop.abort();
});

function createRegistration(host: string, incarnation: string): Change {
	return {
		kind: 'hostRegistered', host, incarnation, domain: 'd', peerAddress: 'p',
	};
}

function applyChanges(changes: readonly Change[]): void {
	const {version} = blackboard.read().view;
	applyEntries(blackboard, changes.map((change, index) => ({
		version: version + index + 1, operationId: `o${version + index}`, author: 'a', writtenAt: '', change,
	})), () => undefined);
}

describe('former lease holders', () => {
	test('a removed host is recorded with the time at which the view first lacks it', () => {
		applyChanges([createRegistration('other', '1')]);
		applyChanges([{kind: 'hostRemoved', host: 'other', incarnation: '1'}]);
		expect(primacy.read()).toMatchObject({followedSince: 0, former: [{host: 'other', incarnation: '1', noticedAt: 5000}]});
	});

	test('the previous incarnation of a restarted host is recorded', () => {
		applyChanges([createRegistration('other', '1')]);
		applyChanges([createRegistration('other', '2')]);
		expect(primacy.read().former).toMatchObject([{host: 'other', incarnation: '1'}]);
	});

	test('a host registered and removed within one page restarts the lease wait of this host', () => {
		applyChanges([createRegistration('other', '1'), {kind: 'hostRemoved', host: 'other', incarnation: '1'}]);
		expect(primacy.read().followedSince).toBe(5000);
	});

	test('a full view that skips unknown entries restarts the lease wait of this host', () => {
		applyFullView(blackboard, {...blackboard.read().view, version: 40}, () => undefined);
		expect(primacy.read().followedSince).toBe(5000);
	});
});

describe('open promotions', () => {
	const group: Change = {kind: 'groupApplied', group: {name: 'g', members: [], durability: 'contract'}};

	function createPromotionStart(term: number): Change {
		return {
			kind: 'promotionStarted', group: 'g', term, promoter: 'p',
		};
	}

	test('retries keep the start time of the first open promotion until a primary is recorded', () => {
		applyChanges([group, createPromotionStart(1)]);
		clock.advanceBy(300);
		applyChanges([createPromotionStart(2)]);
		expect(primacy.read().open.g).toEqual({
			term: 2, baseTerm: 0, noticedAt: 5300, openSince: 5000,
		});
		clock.advanceBy(300);
		applyChanges([{
			kind: 'promotionEnded', group: 'g', term: 2, primary: 'x', start: 0n,
		}, createPromotionStart(3)]);
		expect(primacy.read().open.g).toMatchObject({term: 3, baseTerm: 2, openSince: 5600});
	});
});
