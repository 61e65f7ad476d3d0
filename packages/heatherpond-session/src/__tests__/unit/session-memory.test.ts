/** What client sessions keep of prepared statements and variables. */
import {describe, expect, test} from '@jest/globals';
import {
	createClientSession, type ClientSession, type SessionReply, type StatementAction,
} from '../../index.js';
import {
	createStatement, createTestServices, runUntilSettled, type TestServices,
} from '../support/test-services.js';

const LARGE = 'x'.repeat(10_000);

function createSession({services}: TestServices): ClientSession {
	return createClientSession({sessionId: 's-1', database: 'shop', key: 'key'}, services);
}

async function run({clock}: TestServices, session: ClientSession, action: StatementAction): Promise<SessionReply> {
	return runUntilSettled(clock, session.run(createStatement(action), clock.readNow()));
}

function createPrepare(name: string, shape = LARGE): StatementAction {
	return {
		kind: 'prepare', name, access: 'read', shape,
	};
}

async function countAccepted(fixture: TestServices, session: ClientSession, actions: readonly StatementAction[]): Promise<number> {
	const replies: SessionReply[] = [];
	for (const action of actions) {
		replies.push(await run(fixture, session, action));
	}

	return replies.filter(({kind}) => kind === 'done').length;
}

describe('a session', () => {
	// Guards against one client that uses up the memory of the process with statements it never executes.
	test.each([
		['prepared statements', (index: number) => createPrepare(`s${index}`)],
		['variables', (index: number): StatementAction => ({kind: 'set', name: `v${index}`, value: LARGE})],
	])('that holds ever more %s is refused when the memory for them is used up', async (_, createAction) => {
		const fixture = createTestServices();
		const session = createSession(fixture);
		expect(await countAccepted(fixture, session, Array.from({length: 30}, (_item, index) => createAction(index)))).toBe(10);
		expect(await run(fixture, session, createAction(30))).toMatchObject({kind: 'refused', refusal: {code: 'busy'}});
	});

	test('gives back the room of what it replaces, drops, and leaves behind', async () => {
		const fixture = createTestServices();
		const session = createSession(fixture);
		const actions = Array.from({length: 30}, (): readonly StatementAction[] => [createPrepare('s1'), createPrepare('s1', 'short'), {kind: 'deallocate', name: 's1'}]);
		expect(await countAccepted(fixture, session, actions.flat())).toBe(90);
		await run(fixture, session, createPrepare('s1'));
		session.stop();
		expect(fixture.services.memory.countReserved()).toBe(0);
	});
});
