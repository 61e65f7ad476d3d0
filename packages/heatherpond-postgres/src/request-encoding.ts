/** Encodes a request for an upstream connection, and matches the response to the messages of the request. */
import {Buffer} from 'node:buffer';
import {
	BACKEND, createCloseComplete, createMessage, createParseComplete, encodeText, FRONTEND,
} from 'heatherpond-wire';
import type {ClientRequest, RequestStep, SessionNames} from './client-request.js';
import type {ConnectionStatements, NameAssignment} from './connection-statements.js';
import type {PreparedStatement} from './prepared-statements.js';
import {createResponseMatcher, type Expectation, type ResponseMatcher} from './response-matching.js';

/** A request, encoded for one connection. */
export type EncodedRequest = ResponseMatcher & {
	readonly messages: readonly Buffer[];
};

/** Prepared statements per upstream connection above which the oldest are closed. */
export const MAX_CONNECTION_STATEMENTS = 256;

const NO_BYTES = Buffer.alloc(0);
const SYNC = createMessage(FRONTEND.sync);
const FLUSH = createMessage(FRONTEND.flush);
const isParseEnd = (type: number): boolean => type === BACKEND.parseComplete;
const isBindEnd = (type: number): boolean => type === BACKEND.bindComplete;
const isCloseEnd = (type: number): boolean => type === BACKEND.closeComplete;
const isDescribeEnd = (type: number): boolean => type === BACKEND.rowDescription || type === BACKEND.noData;
const isExecuteEnd = (type: number): boolean => type === BACKEND.commandComplete || type === BACKEND.emptyQueryResponse || type === BACKEND.portalSuspended;

/** Ends of the responses to messages that are forwarded unchanged. */
const STEP_ENDS = {execute: isExecuteEnd, describePortal: isDescribeEnd, closePortal: isCloseEnd};

/** Options of `encodeRequest`. */
export type EncodingOptions = {
	readonly request: ClientRequest;
	/** Statements that are prepared on the connection; updated by the encoding. */
	readonly statements: ConnectionStatements;
	/** Names of the session; updated as responses arrive. */
	readonly names: SessionNames;
	/** Whether a transaction is open on the connection; statements are then not closed, as this would close their portals. */
	readonly isInTransaction: boolean;
	/** Whether the transaction has failed; the database then refuses to prepare any statement that does not end it. */
	readonly hasTransactionFailed: boolean;
};

/**
 * Encodes a request for a connection. Parse messages are inserted for statements that are not prepared there, and left
 * out for named ones that are.
 */
export function encodeRequest(options: EncodingOptions): EncodedRequest {
	const {request, statements} = options;
	if (request.kind === 'simple') {
		// A Query message deallocates the unnamed statement.
		statements.unnamed = undefined;
		return {
			messages: request.frames.map(frame => frame.bytes), start: () => undefined, isComplete: () => true, hasFailed: () => false, take(frame, emit) {
				emit(frame.bytes);
			},
		};
	}

	const messages: Buffer[] = [];
	const expectations: Expectation[] = [];
	const encoder = createStepEncoder(options, messages, expectations);
	if (!options.isInTransaction) {
		encoder.closeOldest();
	}

	request.steps.forEach(step => {
		encoder.encode(step);
	});
	messages.push(request.end === 'flush' ? FLUSH : SYNC);
	return {messages, ...createResponseMatcher(expectations)};
}

type StepEncoder = {readonly encode: (step: RequestStep) => void; readonly closeOldest: () => void};

function createStepEncoder({statements, names, hasTransactionFailed}: EncodingOptions, messages: Buffer[], expectations: Expectation[]): StepEncoder {
	/** Assigns the unnamed statement, or a new name. */
	function insertStatement(statement: PreparedStatement): NameAssignment {
		if (statement.isNamed) {
			return statements.insertName(statement);
		}

		statements.unnamed = statement;
		return {
			name: '', revert() {
				statements.unnamed = undefined;
			},
		};
	}

	/** Appends a Parse message and returns the name in it. */
	function appendParse(statement: PreparedStatement, replacement: Buffer | undefined, apply?: () => void): string {
		const {name, revert} = insertStatement(statement);
		messages.push(createMessage(FRONTEND.parse, encodeText(name), statement.definition));
		expectations.push({
			end: isParseEnd, replacement, apply, revert,
		});
		return name;
	}

	/** Finds the name under which a statement is prepared on the connection. */
	function findName(statement: PreparedStatement): string | undefined {
		return statement.isNamed ? statements.findName(statement) : (statements.unnamed === statement ? '' : undefined);
	}

	/** Returns the name of a statement, and prepares it if it is not prepared yet. */
	function resolveName(statement: PreparedStatement): string {
		return findName(statement) ?? appendParse(statement, NO_BYTES);
	}

	function isRefused({statements: classes}: PreparedStatement): boolean {
		return hasTransactionFailed && classes.some(({kind}) => kind !== 'commit' && kind !== 'rollback');
	}

	function encodeParse({name, statement}: Extract<RequestStep, {kind: 'parse'}>): void {
		function apply(): void {
			names.statements.insert(name, statement);
		}

		if (name !== '' && findName(statement) !== undefined && !isRefused(statement)) {
			expectations.push({replacement: createParseComplete(), apply});
		} else {
			appendParse(statement, undefined, apply);
		}
	}

	function encodeBind(step: Extract<RequestStep, {kind: 'bind'}>): void {
		const {statement, portal} = step;
		const name = resolveName(statement);
		messages.push(statement.isNamed ? createMessage(FRONTEND.bind, encodeText(portal), encodeText(name), step.rest) : step.frame.bytes);
		expectations.push({
			end: isBindEnd, apply() {
				names.portals.set(portal, statement);
			},
		});
	}

	function encodeDescribe({statement, frame}: Extract<RequestStep, {kind: 'describeStatement'}>): void {
		const name = resolveName(statement);
		messages.push(statement.isNamed ? createMessage(FRONTEND.describe, encodeText(`S${name}`)) : frame.bytes);
		expectations.push({end: isDescribeEnd});
	}

	return {
		encode(step) {
			switch (step.kind) {
				case 'parse': {
					encodeParse(step);
					break;
				}

				case 'bind': {
					encodeBind(step);
					break;
				}

				case 'describeStatement': {
					encodeDescribe(step);
					break;
				}

				case 'closeStatement': {
					expectations.push({
						replacement: createCloseComplete(), apply() {
							names.statements.remove(step.name);
						},
					});
					break;
				}

				case 'execute':
				case 'describePortal':
				case 'closePortal': {
					messages.push(step.frame.bytes);
					expectations.push({end: STEP_ENDS[step.kind]});
				}
			}
		},
		closeOldest() {
			statements.removeOldest(MAX_CONNECTION_STATEMENTS).forEach(name => {
				messages.push(createMessage(FRONTEND.close, encodeText(`S${name}`)));
				expectations.push({end: isCloseEnd, replacement: NO_BYTES});
			});
		},
	};
}
