/** The extended query protocol of a stand-in database: prepared statements and portals. */
import {
	createBindComplete, createCloseComplete, createCommandComplete, createEmptyQueryResponse, createFieldReader, createNoData, createParameterDescription, createParseComplete, createPortalSuspended,
	createRowDescription, FRONTEND, parseBind, parseExecute, parseParse, parseTarget, type BindMessage, type Frame,
} from 'heatherpond-wire';
import {
	createUnknownStatementError, runStatement, sendError, sendLogPosition, sendRows, type ConnectionState, type Portal, type PreparedStatement,
} from './connection-state.js';
import {resolveDateLiterals} from './sql-dates.js';
import type {SqlNode} from './sql-expression.js';
import {parseStatements} from './sql-parser.js';
import {TYPE_ID} from './sql-row.js';
import {StatementError} from './standin-error.js';

/** Handles a message of the extended query protocol; after an error, messages up to the next Sync are skipped. */
export async function handleExtendedMessage(state: ConnectionState, frame: Frame): Promise<void> {
	try {
		await executeExtendedMessage(state, frame);
	} catch (error) {
		state.isSkippingUntilSync = true;
		sendError(state, error);
	}
}

/** Executes a message; errors are thrown. */
async function executeExtendedMessage(state: ConnectionState, frame: Frame): Promise<void> {
	switch (frame.type) {
		case FRONTEND.parse: {
			handleParse(state, frame);
			break;
		}

		case FRONTEND.bind: {
			handleBind(state, frame);
			break;
		}

		case FRONTEND.describe: {
			handleDescribe(state, frame);
			break;
		}

		case FRONTEND.execute: {
			await handleExecute(state, frame);
			break;
		}

		case FRONTEND.close: {
			const target = parseTarget(frame.body);
			(target.target === 'statement' ? state.statements : state.portals).delete(target.name);
			state.channel.send(createCloseComplete());
			break;
		}

		case FRONTEND.flush: {
			break;
		}

		default: {
			throw new StatementError(`the stand-in does not support message ${String.fromCodePoint(frame.type)}`, {props: {sqlState: '0A000'}});
		}
	}
}

/** Prepares a statement. */
function handleParse(state: ConnectionState, frame: Frame): void {
	const message = parseParse(frame.body);
	const [statement, ...others] = parseStatements(message.text);
	if (others.length > 0) {
		throw new StatementError('cannot insert multiple commands into a prepared statement', {props: {sqlState: '42601'}});
	}

	checkNotAborted(state, statement);
	if (message.statement !== '' && state.statements.has(message.statement)) {
		throw new StatementError(`prepared statement "${message.statement}" already exists`, {props: {sqlState: '42P05'}});
	}

	state.statements.set(message.statement, {
		text: message.text,
		statement: statement && resolveDateLiterals(statement, state.session.readSetting('datestyle')!),
		parameterTypes: resolveParameterTypes(statement, message.parameterTypes),
	});
	state.channel.send(createParseComplete());
}

/** Transaction commands that a failed transaction block accepts. */
const EXIT_COMMANDS = new Set(['TRANS_STMT_COMMIT', 'TRANS_STMT_ROLLBACK', 'TRANS_STMT_ROLLBACK_TO', 'TRANS_STMT_PREPARE']);

/** Throws in a failed transaction block, in which only a statement that ends it can be prepared and bound. */
function checkNotAborted(state: ConnectionState, statement: SqlNode | undefined): void {
	const command = statement?.TransactionStmt as SqlNode | undefined;
	const isExit = command !== undefined && EXIT_COMMANDS.has(command.kind as string);
	if (state.session.readStatus() === 'E' && statement && !isExit) {
		throw new StatementError('current transaction is aborted, commands ignored until end of transaction block', {props: {sqlState: '25P02'}});
	}
}

/** Returns the types of a statement's parameters; those that the client leaves unspecified are text. */
function resolveParameterTypes(statement: SqlNode | undefined, given: readonly number[]): readonly number[] {
	const count = Math.max(given.length, ...readParameterNumbers(statement));
	return Array.from({length: count}, (_value, index) => given[index] ?? TYPE_ID.text);
}

/** Returns the numbers of all parameters in a syntax tree. */
function readParameterNumbers(node: unknown): readonly number[] {
	if (typeof node !== 'object' || node === null) {
		return [];
	}

	const parameter = (node as SqlNode).ParamRef as SqlNode | undefined;
	return [...(parameter ? [parameter.number as number] : []), ...Object.values(node).flatMap(value => readParameterNumbers(value))];
}

function findStatement(state: ConnectionState, name: string): PreparedStatement {
	const prepared = state.statements.get(name);
	if (!prepared) {
		throw createUnknownStatementError(name);
	}

	return prepared;
}

/** Format code of binary values in Bind messages. */
const BINARY_FORMAT = 1;

/** Throws if a parameter or result column has binary format. Parameter formats are decoded here, as `parseBind` does not return them. */
function checkTextFormats(frame: Frame, resultFormats: readonly number[]): void {
	const fields = createFieldReader(frame.body);
	fields.readText();
	fields.readText();
	const parameterFormats = Array.from({length: fields.readCount()}, () => fields.readInt16());
	if ([...parameterFormats, ...resultFormats].includes(BINARY_FORMAT)) {
		throw new StatementError('the stand-in does not support binary formats, text is supported', {props: {sqlState: '0A000'}});
	}
}

/** Throws if a statement has another number of parameters than the values that are bound. */
function checkParameters({statement, values}: BindMessage, {parameterTypes}: PreparedStatement): void {
	if (values.length !== parameterTypes.length) {
		throw new StatementError(`bind message supplies ${values.length} parameters, but prepared statement "${statement}" requires ${parameterTypes.length}`, {props: {sqlState: '08P01'}});
	}
}

/** Creates a portal from a prepared statement and parameter values. */
function handleBind(state: ConnectionState, frame: Frame): void {
	const message = parseBind(frame.body);
	checkTextFormats(frame, message.resultFormats);
	const prepared = findStatement(state, message.statement);
	checkNotAborted(state, prepared.statement);
	checkParameters(message, prepared);
	if (message.portal !== '' && state.portals.has(message.portal)) {
		throw new StatementError(`cursor "${message.portal}" already exists`, {props: {sqlState: '42P03'}});
	}

	state.portals.set(message.portal, {prepared, values: message.values.map(value => value?.toString('utf8') ?? null)});
	state.channel.send(createBindComplete());
}

function findPortal(state: ConnectionState, name: string): Portal {
	const portal = state.portals.get(name);
	if (!portal) {
		throw new StatementError(`portal "${name}" does not exist`, {props: {sqlState: '34000'}});
	}

	return portal;
}

/** Sends the parameter types of a statement and the result columns of a statement or portal. */
function handleDescribe(state: ConnectionState, frame: Frame): void {
	const target = parseTarget(frame.body);
	const prepared = target.target === 'statement' ? findStatement(state, target.name) : findPortal(state, target.name).prepared;
	if (target.target === 'statement') {
		state.channel.send(createParameterDescription(prepared.parameterTypes));
	}

	const columns = prepared.statement && state.session.describe(prepared.statement);
	state.channel.send(columns ? createRowDescription(columns) : createNoData());
}

/** Runs a portal, or resumes a suspended one, and sends up to the requested number of rows. */
async function handleExecute(state: ConnectionState, frame: Frame): Promise<void> {
	const {portal: name, maxRows} = parseExecute(frame.body);
	const portal = findPortal(state, name);
	if (!portal.prepared.statement) {
		state.channel.send(createEmptyQueryResponse());
		return;
	}

	if (!portal.open) {
		const {text, statement} = portal.prepared;
		const result = await runStatement(state, {text, statement, values: portal.values});
		portal.open = {answer: result, rows: result.rows[Symbol.iterator]()};
	}

	sendLogPosition(state);
	const hasMore = await sendRows(state, portal.open.rows, maxRows);
	state.channel.send(hasMore ? createPortalSuspended() : createCommandComplete(portal.open.answer.tag));
}
