/** Parses the messages of one request: a Query, or the extended-protocol messages up to Sync or Flush. */
import type {Buffer} from 'node:buffer';
import {
	FRONTEND, parseBindNames, parseExecute, parseTarget, parseText, type Frame,
} from 'heatherpond-wire';
import {
	isReplicaEligible, classifyQueryText, type StatementClass, type StatementClasses,
} from './classify.js';
import {createRequestError} from './postgres-error.js';
import {createPreparedStatement, type PreparedStatement, type StatementStore} from './prepared-statements.js';
import {SQL_STATE} from './sql-states.js';

/** One message of the extended protocol, with the prepared statement that it refers to. */
export type RequestStep
	= | {readonly kind: 'parse'; readonly name: string; readonly statement: PreparedStatement; readonly frame: Frame}
		| {readonly kind: 'bind'; readonly portal: string; readonly statement: PreparedStatement; readonly rest: Buffer; readonly frame: Frame}
		| {readonly kind: 'describeStatement'; readonly statement: PreparedStatement; readonly frame: Frame}
		| {readonly kind: 'describePortal'; readonly statement: PreparedStatement; readonly frame: Frame}
		| {readonly kind: 'execute'; readonly statement: PreparedStatement; readonly frame: Frame}
		| {readonly kind: 'closeStatement'; readonly name: string; readonly frame: Frame}
		| {readonly kind: 'closePortal'; readonly frame: Frame};

/** A request of a client: one Query message, or all messages up to Sync or Flush. */
export type ClientRequest = {
	readonly kind: 'simple' | 'extended';
	/** `ready` if the response ends with ReadyForQuery, `flush` if it does not and more messages follow before Sync. */
	readonly end: 'ready' | 'flush';
	/** Text of a Query message; empty otherwise. */
	readonly text: string;
	/** Messages before Sync or Flush; empty for a Query. */
	readonly steps: readonly RequestStep[];
	/** Classes of the statements that the request executes; of those it prepares or describes if it executes none. */
	readonly statements: StatementClasses;
	/** Whether a replica may serve the request. */
	readonly isRead: boolean;
	/** Length of all messages. */
	readonly bytes: number;
	readonly frames: readonly Frame[];
};

/** Named objects of a session: its prepared statements, and the portals of the open transaction. */
export type SessionNames = {
	readonly statements: StatementStore;
	readonly portals: Map<string, PreparedStatement>;
};

/** Creates the request of a Query message. */
export function createSimpleRequest(frame: Frame): ClientRequest {
	const text = parseText(frame.body);
	const statements = classifyQueryText(text);
	return {
		kind: 'simple', end: 'ready', text, steps: [], statements, isRead: isReplicaEligible(statements), bytes: frame.bytes.length, frames: [frame],
	};
}

/**
 * Creates the request of the messages up to Sync or Flush.
 *
 * @throws RequestError if a message names an unknown statement or portal, prepares a name twice, or cannot be pooled
 */
export function createExtendedRequest(frames: readonly Frame[], names: SessionNames): ClientRequest {
	const resolveStep = createNameResolver(names);
	const last = frames.at(-1)!;
	const steps = frames.slice(0, -1).map(frame => resolveStep(frame));
	const executed = steps.filter(step => step.kind === 'execute');
	const statements = executed.length === 0 ? collectStatements(steps) : collectStatements(executed);
	const isFlush = last.type === FRONTEND.flush;
	return {
		kind: 'extended',
		end: isFlush ? 'flush' : 'ready',
		text: '',
		steps,
		statements,
		// Messages after a Flush use the same connection and may write, so they need the primary.
		isRead: !isFlush && isReplicaEligible(statements),
		bytes: frames.reduce((sum, frame) => sum + frame.bytes.length, 0),
		frames,
	};
}

function collectStatements(steps: readonly RequestStep[]): readonly StatementClass[] {
	return steps.flatMap(step => 'statement' in step ? step.statement.statements : []);
}

/** Resolves names in the messages of one request; the names of the session are updated only by the responses. */
function createNameResolver(names: SessionNames): (frame: Frame) => RequestStep {
	const statements = new Map<string, PreparedStatement | undefined>();
	const portals = new Map<string, PreparedStatement>();

	function findStatement(name: string): PreparedStatement | undefined {
		return statements.has(name) ? statements.get(name) : names.statements.find(name);
	}

	function checkStatement(name: string): PreparedStatement {
		const statement = findStatement(name);
		if (!statement) {
			throw createRequestError(SQL_STATE.unknownStatement, name === '' ? 'unnamed prepared statement does not exist' : `prepared statement ${JSON.stringify(name)} does not exist`);
		}

		return statement;
	}

	/** Finds a portal. Portals end with their transaction, so no session can reach one of another session. */
	function checkPortal(name: string): PreparedStatement {
		const statement = portals.get(name) ?? names.portals.get(name);
		if (!statement) {
			throw createRequestError(SQL_STATE.unknownPortal, `portal ${JSON.stringify(name)} does not exist`);
		}

		return statement;
	}

	function handleParse(frame: Frame): RequestStep {
		const {name, statement} = createPreparedStatement(frame.body);
		if (name !== '' && findStatement(name)) {
			throw createRequestError(SQL_STATE.duplicateStatement, `prepared statement ${JSON.stringify(name)} already exists`);
		}

		statements.set(name, statement);
		return {
			kind: 'parse', name, statement, frame,
		};
	}

	function handleTarget(frame: Frame, isClose: boolean): RequestStep {
		const {target, name} = parseTarget(frame.body);
		if (target === 'portal') {
			return isClose ? {kind: 'closePortal', frame} : {kind: 'describePortal', statement: checkPortal(name), frame};
		}

		if (isClose) {
			statements.set(name, undefined);
			return {kind: 'closeStatement', name, frame};
		}

		return {kind: 'describeStatement', statement: checkStatement(name), frame};
	}

	return frame => {
		switch (frame.type) {
			case FRONTEND.parse: {
				return handleParse(frame);
			}

			case FRONTEND.bind: {
				const bind = parseBindNames(frame.body);
				const statement = checkStatement(bind.statement);
				portals.set(bind.portal, statement);
				return {
					kind: 'bind', portal: bind.portal, statement, rest: bind.rest, frame,
				};
			}

			case FRONTEND.describe: {
				return handleTarget(frame, false);
			}

			case FRONTEND.close: {
				return handleTarget(frame, true);
			}

			case FRONTEND.execute: {
				return {kind: 'execute', statement: checkPortal(parseExecute(frame.body).portal), frame};
			}

			default: {
				throw createRequestError(SQL_STATE.notSupported, `message ${JSON.stringify(String.fromCodePoint(frame.type))} cannot be used through transaction pooling`);
			}
		}
	};
}

/** Tells whether a request may change data. */
export function hasWrite(request: ClientRequest): boolean {
	return !request.isRead;
}

