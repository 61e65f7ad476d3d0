/** Statements that a client sends together, without waiting for each response. */
import {describe, expect, test} from '@jest/globals';
import {createClientSession, type SessionReply, type StatementAction} from '../../index.js';
import {
	createStatement, createTestServices, runUntilSettled, type TestServices,
} from '../support/test-services.js';

const BEGIN: StatementAction = {kind: 'begin', isReadOnly: false};
const WRITE: StatementAction = {kind: 'data', access: 'write'};
const COMMIT: StatementAction = {kind: 'commit'};
const ROLLBACK: StatementAction = {kind: 'rollback'};

/** Runs groups of statements; those of a group arrive together, before the first of them runs. */
async function runGroups({clock, services}: TestServices, groups: ReadonlyArray<readonly StatementAction[]>): Promise<readonly SessionReply[]> {
	const session = createClientSession({sessionId: 's-1', database: 'shop', key: 'key'}, services);
	const replies: SessionReply[] = [];
	for (const group of groups) {
		const arrivedAt = clock.readNow();
		for (const action of group) {
			replies.push(await runUntilSettled(clock, session.run(createStatement(action, action.kind === 'commit' ? 'COMMIT' : 'text'), arrivedAt)));
			clock.advanceBy(1);
		}
	}

	return replies;
}

function refuseBegin(fixture: TestServices): void {
	fixture.script = ({command}) => command.kind === 'begin' ? {kind: 'error', code: 'busy'} : undefined;
}

function countWrites({seen}: TestServices): number {
	return seen.filter(({command}) => command.kind === 'forward').length;
}

describe('statements sent together, of a transaction whose first statement is refused', () => {
	// Guards against a write of a transaction that is committed by itself.
	test('are refused as well, up to its end', async () => {
		const fixture = createTestServices();
		refuseBegin(fixture);
		const replies = await runGroups(fixture, [[BEGIN, WRITE, WRITE, COMMIT]]);
		expect(replies.slice(1)).toMatchObject([{refusal: {code: 'busy'}}, {refusal: {code: 'aborted'}}, {refusal: {code: 'aborted'}}]);
		expect(countWrites(fixture)).toBe(0);
	});

	test('are refused as well when BEGIN was refused', async () => {
		const fixture = createTestServices();
		fixture.access = 'unverified';
		const replies = runGroups(fixture, [[BEGIN, WRITE, COMMIT]]);
		fixture.access = 'allow';
		expect(await replies).toMatchObject([{refusal: {code: 'busy'}}, {refusal: {code: 'aborted'}}, {refusal: {code: 'aborted'}}]);
		expect(countWrites(fixture)).toBe(0);
	});

	test.each([[[COMMIT]], [[ROLLBACK]]])('do not keep the next transaction from running', async ([end]) => {
		const fixture = createTestServices();
		let refused = 0;
		fixture.script = ({command}) => command.kind === 'begin' && refused++ === 0 ? {kind: 'error', code: 'failed'} : undefined;
		const replies = await runGroups(fixture, [[BEGIN, WRITE, end!, BEGIN, WRITE, COMMIT]]);
		expect(replies.at(-1)).toMatchObject({kind: 'answer', isError: false, state: 'idle'});
	});

	test('do not keep later statements from running', async () => {
		const fixture = createTestServices();
		refuseBegin(fixture);
		const replies = await runGroups(fixture, [[BEGIN, WRITE], [WRITE]]);
		expect(replies.at(-1)).toMatchObject({kind: 'answer', isError: false, state: 'idle'});
		expect(countWrites(fixture)).toBe(1);
	});
});
