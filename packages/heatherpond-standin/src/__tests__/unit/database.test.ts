import {describe, expect, test} from '@jest/globals';
import {createFakeClock} from 'heatherpond-core';
import {createDatabase} from '../../database.js';

describe('time since the last primary contact of a replica (heardMs)', () => {
	test('is reset by contact with the followed primary only, independently of the data age', () => {
		const clock = createFakeClock();
		const replica = createDatabase({name: 'b', clock, firstPrimary: 'a'});
		clock.advanceBy(400);
		replica.recordPrimaryContact('a');
		clock.advanceBy(100);
		expect(replica.readStatus()).toMatchObject({heardMs: 100, dataAgeMs: 500});
		replica.recordPrimaryContact('c');
		expect(replica.readStatus().heardMs).toBe(100);
	});

	test('is not reset by a follow request while the primary is unreachable', () => {
		const clock = createFakeClock();
		const replica = createDatabase({name: 'b', clock, firstPrimary: 'a'});
		clock.advanceBy(400);
		expect(replica.follow('a', 1, undefined).heardMs).toBe(400);
		expect(replica.follow('a', 1, []).heardMs).toBe(0);
	});
});
