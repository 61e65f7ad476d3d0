import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	applyTransactionEvent, NO_TRANSACTION, readTransactionStatus, type TransactionEvent, type TransactionPhase,
} from '../../transaction-phase.js';

const SEED = 20_261_203;
const OPEN: TransactionPhase = {kind: 'open', status: 'T'};

const eventArbitrary: fc.Arbitrary<TransactionEvent> = fc.oneof(
	fc.record({type: fc.constant('answered' as const), status: fc.constantFrom('I' as const, 'T' as const, 'E' as const, undefined)}),
	fc.record({type: fc.constant('connectionLost' as const), mayHaveCommitted: fc.boolean()}),
	fc.constant<TransactionEvent>({type: 'refused'}),
	fc.constant<TransactionEvent>({type: 'ended'}),
);

describe('the transaction state of a session', () => {
	test.each<[string, TransactionPhase, TransactionEvent, TransactionPhase]>([
		['is open after BEGIN', NO_TRANSACTION, {type: 'answered', status: 'T'}, OPEN],
		['is none after COMMIT', OPEN, {type: 'answered', status: 'I'}, NO_TRANSACTION],
		['keeps its status after a Flush', OPEN, {type: 'answered'}, OPEN],
		['holds a connection after a Flush outside a transaction', NO_TRANSACTION, {type: 'answered'}, {kind: 'open', status: 'I'}],
		['is lost when the connection is lost', OPEN, {type: 'connectionLost', mayHaveCommitted: false}, {kind: 'lost'}],
		['is none when the connection is lost during COMMIT', OPEN, {type: 'connectionLost', mayHaveCommitted: true}, NO_TRANSACTION],
		['is lost when the proxy refuses a statement of the transaction', OPEN, {type: 'refused'}, {kind: 'lost'}],
		['stays none when the proxy refuses a request outside a transaction', NO_TRANSACTION, {type: 'refused'}, NO_TRANSACTION],
		['is none after the client has ended a lost transaction', {kind: 'lost'}, {type: 'ended'}, NO_TRANSACTION],
	])('%s', (_name, phase, event, next) => {
		expect(applyTransactionEvent(phase, event)).toEqual(next);
	});

	test('reports a lost transaction as failed after any sequence of events', () => {
		fc.assert(fc.property(fc.array(eventArbitrary), events => {
			events.reduce<TransactionPhase>((phase, event) => {
				const next = applyTransactionEvent(phase, event);
				expect(next.kind === 'lost').toBe(next.kind === 'lost' && readTransactionStatus(next) === 'E');
				const isLosing = phase.kind === 'open' && (event.type === 'refused' || (event.type === 'connectionLost' && !event.mayHaveCommitted));
				expect(isLosing ? next.kind : 'lost').toBe('lost');
				return next;
			}, NO_TRANSACTION);
		}), {seed: SEED});
	});
});
