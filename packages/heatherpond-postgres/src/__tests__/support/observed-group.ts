/** A group whose databases tell each statement that they execute. */
import type {ExecutedStatement} from 'heatherpond-standin';
import {startTestGroup, type TestGroup} from './test-group.js';

/** The group, with a single connection to each database, and what they have executed so far, in order. */
export type ObservedGroup = TestGroup & {readonly executed: ExecutedStatement[]};

/** Starts the group. */
export async function startObservedGroup(): Promise<ObservedGroup> {
	const group = await startTestGroup({maxConnections: 1});
	const executed: ExecutedStatement[] = [];
	group.group.members.forEach(({observer}) => {
		observer.handleStatement = statement => {
			executed.push(statement);
		};
	});
	return {...group, executed};
}
