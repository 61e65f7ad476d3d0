import {describe, expect, test} from '@jest/globals';
import {
	createClientSession, createUpstreamError, type SessionReply, type SessionServices, type Statement, type StatementAction,
} from '../../index.js';
import {createStatement, createTestServices, runUntilSettled} from '../support/test-services.js';

/** Runs statements with databases to which a name or value cannot be sent. */
async function runStatements(change: Partial<SessionServices['upstreams']>, actions: readonly StatementAction[]): Promise<{readonly replies: readonly SessionReply[]; readonly elapsedMs: number}> {
	const {clock, services} = createTestServices();
	const session = createClientSession({sessionId: 's-1', database: 'shop', key: 'key'}, {...services, upstreams: {...services.upstreams, ...change}});
	const startedAt = clock.readNow();
	const run = async (statement: Statement): Promise<SessionReply> => session.run(statement, clock.readNow());
	const replies = await runUntilSettled(clock, actions.reduce<Promise<readonly SessionReply[]>>(async (done, action) => [...await done, await run(createStatement(action))], Promise.resolve([])));
	return {replies, elapsedMs: clock.readNow() - startedAt};
}

async function failToAcquire(): Promise<never> {
	throw createUpstreamError('unsendable', 'unsendable', false);
}

const READ: StatementAction = {kind: 'data', access: 'read'};
const WRITE: StatementAction = {kind: 'data', access: 'write'};
const BEGIN: StatementAction = {kind: 'begin', isReadOnly: false};
const REFUSAL = {kind: 'refused', state: 'idle', refusal: {code: 'malformed'}};

describe('a statement of which a name or value cannot be sent to databases', () => {
	// Guards against clients that are held, and told to retry, because of what no retry can change.
	test.each<[string, readonly StatementAction[]]>([['read', [READ]], ['write', [WRITE]], ['first statement of a transaction', [BEGIN, READ]]])('is refused at once when no connection can be opened: %s', async (_, actions) => {
		const {replies, elapsedMs} = await runStatements({acquire: failToAcquire}, actions);
		expect(replies.at(-1)).toMatchObject(REFUSAL);
		expect(elapsedMs).toBeLessThanOrEqual(10);
	});

	test.each<[string, readonly StatementAction[]]>([['read', [READ]], ['write', [WRITE]], ['first statement of a transaction', [BEGIN, WRITE]]])('is refused at once when a connection does not take it: %s', async (_, actions) => {
		const {replies, elapsedMs} = await runStatements({
			acquire: async database => ({
				database, team: 'team', run: failToAcquire, release: () => undefined,
			}),
		}, actions);
		expect(replies.at(-1)).toMatchObject(REFUSAL);
		expect(elapsedMs).toBeLessThanOrEqual(10);
	});
});
