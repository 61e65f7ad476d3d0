import {describe, expect, test} from '@jest/globals';
import {createBlackboard, createFakeClock} from 'heatherpond-core';
import {
	createHostMessages, EMPTY_FLEET_STATE, type FleetState, type HostMessageHandlers,
} from '../../index.js';

describe('a message that cannot be handled', () => {
	const question = JSON.stringify({
		kind: 'question', id: 'q', table: 't', after: 0, address: 'host-2', port: 1,
	});

	function startMessages(handlers: Partial<HostMessageHandlers>) {
		const sent: string[] = [];
		const events: string[] = [];
		let receive: (datagram: string) => void = () => undefined;
		const messages = createHostMessages({
			blackboard: createBlackboard<FleetState>(EMPTY_FLEET_STATE),
			clock: createFakeClock(0),
			identity: {
				host: 'host-1', incarnation: 'run-1', domain: 'd', address: 'host-1', port: 1,
			},
			writeEvent(event) {
				events.push(event);
			},
		}, {
			send(text) {
				sent.push(text);
			},
			registerListener(listener) {
				receive = listener;
			},
		});
		messages.registerHandlers({readTableChanges: () => ({kind: 'unread'}), ...handlers} as HostMessageHandlers);
		return {
			sent, events, receive(datagram: string) {
				receive(datagram);
			},
		};
	}

	test('is ignored when it is malformed, and the others of its datagram are handled', () => {
		const {sent, receive} = startMessages({});
		['', '{', 'null', '[]', '{"kind":"usage"}', '{"kind":"question"}', '#', '# 0 0', '\u0000'].forEach(malformed => {
			receive(`${malformed}\n${question}`);
		});
		expect(sent.length).toBeGreaterThanOrEqual(7);
	});

	test('is logged when its handler throws, and the others of its datagram are handled', () => {
		const {sent, events, receive} = startMessages({
			handlePrimacy() {
				throw new Error('unexpected');
			},
		});
		const primacy = JSON.stringify({
			kind: 'primacy', version: 1, record: {group: 'g', term: 1, primary: 'db-1'},
		});
		receive(`${primacy}\n${question}`);
		expect(events).toEqual(['message_fault']);
		expect(sent).toHaveLength(1);
	});

	test('is logged when its response cannot be created', async () => {
		const {events, receive} = startMessages({
			async decideGrant() {
				throw new Error('unexpected');
			},
		});
		receive(JSON.stringify({
			kind: 'grant-question', id: 'q', team: 't', wanted: 1, address: 'host-2', port: 1,
		}));
		await Promise.resolve().then(() => undefined).then(() => undefined);
		expect(events).toEqual(['message_fault']);
	});
});
