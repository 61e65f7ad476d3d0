/** One client session, from the successful login to the end of the connection. */
import {
	createEmptyQueryResponse, createErrorResponse, createReadyForQuery, FRONTEND, WireError, type Frame,
} from 'heatherpond-wire';
import type {ClientConnection} from './client-connection.js';
import {readTeam, type ClientContext} from './client-context.js';
import {convertAccessRefusal, convertRequestError} from './client-error.js';
import {createExtendedRequest, createSimpleRequest, type ClientRequest} from './client-request.js';
import type {ClientServices} from './client-services.js';
import type {ClientSettings} from './client-settings.js';
import {checkAccess, type AcceptedClient} from './client-startup.js';
import {answerLocally, createSettingExecutor, isLocalRequest} from './local-response.js';
import {createStatementStore} from './prepared-statements.js';
import {createRequestRunner, type RequestRunner, type RunResult} from './request-runner.js';
import type {StatementKind} from './classify.js';
import {readInitialSettings} from './session-start.js';
import {SQL_STATE} from './sql-states.js';
import {UnsupportedStatementError} from './unsupported-statement-error.js';

/** A running client session. */
export type ClientSession = {
	/** Handles the next message; resolves when a request that it completes has been answered. */
	readonly handleFrame: (frame: Frame) => void | Promise<void>;
	/** Ends the session if its key no longer grants access. */
	readonly checkAccess: () => void;
	readonly readSettings: () => ClientSettings;
	/** Cancels the request in progress. */
	readonly cancel: () => void;
	/** Ends the session as soon as no request or transaction is in progress. */
	readonly startDrain: () => void;
	/** Ends the session now: answers the request in progress, rolls back an open transaction, and closes the connection. */
	readonly end: () => void;
	/** Aborts the request or transaction in progress; called when the connection has closed. */
	readonly stop: () => void;
};

/** Options of `createClientSession`. */
export type ClientSessionOptions = {
	readonly connection: ClientConnection;
	readonly services: ClientServices;
	readonly client: AcceptedClient;
};

/** Internal state of a session. */
type Session = {
	readonly connection: ClientConnection;
	readonly context: ClientContext;
	readonly runner: RequestRunner;
	/** Messages of the incomplete request. */
	batch: Frame[];
	batchBytes: number;
	/** Whether messages up to Sync are skipped because a request that ended in Flush failed. */
	isSkipping: boolean;
	isDraining: boolean;
	/** Whether the connection is closed once the request in progress has been answered. */
	isEnding: boolean;
	/** Cancels the timer of an idle transaction. */
	stopIdleTimer: (() => void) | undefined;
};

/** Creates the session of an authenticated client. */
export function createClientSession({connection, services, client}: ClientSessionOptions): ClientSession {
	const context: ClientContext = {
		sessionId: services.createId(),
		services,
		credentials: client.credentials,
		output: connection.output,
		names: {statements: createStatementStore(), portals: new Map()},
		settings: readInitialSettings(client, services),
	};
	const session: Session = {
		connection, context, runner: createRequestRunner(context), batch: [], batchBytes: 0, isSkipping: false, isDraining: false, isEnding: false, stopIdleTimer: undefined,
	};
	services.recordEvent('callerConnected', {session: context.sessionId, team: readTeam(context)});
	return {
		handleFrame: async frame => handleFrame(session, frame),
		checkAccess() {
			endIfRefused(session);
		},
		readSettings: () => context.settings,
		cancel: session.runner.cancel,
		startDrain() {
			session.isDraining = true;
			if (!connection.isBusy()) {
				endIfDrained(session);
			}
		},
		end() {
			session.isEnding = true;
			if (connection.isBusy()) {
				session.runner.cancel();
			} else {
				endForShutdown(session);
			}
		},
		stop() {
			session.stopIdleTimer?.();
			session.runner.stop();
			services.recordEvent('callerClosed', {session: context.sessionId});
		},
	};
}

function handleFrame(session: Session, frame: Frame): void | Promise<void> {
	session.stopIdleTimer?.();
	session.stopIdleTimer = undefined;
	if (frame.type === FRONTEND.terminate) {
		session.connection.end();
		return undefined;
	}

	if (session.isSkipping && frame.type !== FRONTEND.sync) {
		return undefined;
	}

	session.batch.push(frame);
	session.batchBytes += frame.bytes.length;
	if (session.batchBytes > session.context.services.limits.maxFrameBytes) {
		throw new WireError('the messages of one request exceed the size limit', {props: {reason: 'too_large'}});
	}

	if (frame.type !== FRONTEND.query && frame.type !== FRONTEND.sync && frame.type !== FRONTEND.flush) {
		return undefined;
	}

	if (frame.type !== FRONTEND.query && frame.body.length > 0) {
		throw new WireError('invalid message format: Sync and Flush have no fields');
	}

	const {batch} = session;
	session.batch = [];
	session.batchBytes = 0;
	return handleBatch(session, batch);
}

async function handleBatch(session: Session, batch: readonly Frame[]): Promise<void> {
	const {connection, context, runner} = session;
	const last = batch.at(-1)!;
	const isFlush = last.type === FRONTEND.flush;
	try {
		const request = last.type === FRONTEND.query ? createSimpleRequest(last) : createExtendedRequest(batch, context.names);
		const end = await runRequest(session, request);
		session.isSkipping = isFlush && (end?.hasFailed ?? false);
	} catch (error) {
		handleRequestError(session, error, isFlush);
	}

	if (connection.isOpen()) {
		registerIdleTimer(session);
		endIfDrained(session);
		await waitForDrain(connection);
	}

	if (!connection.isOpen()) {
		runner.stop();
	}
}

/** Runs a request; resolves to `undefined` if no database was needed. */
async function runRequest(session: Session, request: ClientRequest): Promise<RunResult | undefined> {
	const {connection, context, runner} = session;
	const access = checkAccess(context.services, context.credentials);
	if (access.kind === 'refuse') {
		connection.endWithError(convertAccessRefusal(access.reason));
		return undefined;
	}

	if (runner.isInTransaction() && request.statements.some(({kind}) => VARIABLE_CHANGE_KINDS.has(kind))) {
		throw new UnsupportedStatementError('a variable cannot be SET or RESET inside a transaction through transaction pooling; use SET LOCAL');
	}

	if (isLocalRequest(request)) {
		answerLocally(context, request, createSettingExecutor(context));
		sendReady(session, request);
		return undefined;
	}

	const isEmpty = request.statements.length === 0 && request.steps.length === 0;
	if (isEmpty && !runner.isInTransaction()) {
		if (request.kind === 'simple') {
			connection.output.write(createEmptyQueryResponse());
		}

		sendReady(session, request);
		return undefined;
	}

	checkSupported(request);
	return runner.run(request, access);
}

/** Statements that change connection variables; inside a transaction, a rollback would undo the change on the database alone. */
const VARIABLE_CHANGE_KINDS = new Set<StatementKind>(['variable', 'resetVariable', 'resetAll', 'discardAll']);

function sendReady({connection, context, runner}: Session, request: ClientRequest): void {
	if (!runner.isInTransaction()) {
		context.names.portals.clear();
	}

	if (request.end === 'ready') {
		connection.output.write(createReadyForQuery(runner.readStatus()));
	}

	connection.output.flush();
}

function checkSupported(request: ClientRequest): void {
	const refused = request.statements.find(statement => statement.kind === 'unsupported');
	const isWithOthers = request.statements.length > 1 || (request.end === 'flush' && request.steps.some(({kind}) => kind === 'execute'));
	if (isWithOthers && request.statements.some(({kind}) => kind === 'variable')) {
		throw new UnsupportedStatementError('SET together with other statements, or before Flush, cannot be used through transaction pooling');
	}

	if (refused) {
		throw new UnsupportedStatementError(`${refused.reason} cannot be used through transaction pooling`);
	}
}

/** Reports an error that did not come from a database; an open transaction has not seen it, so it is aborted. */
function handleRequestError(session: Session, error: unknown, isFlush: boolean): void {
	const {connection, runner} = session;
	const fields = convertRequestError(error, {
		isRead: true, wasDispatched: false, hasResponseStarted: false, isCanceled: false,
	});
	if (!connection.isOpen()) {
		return;
	}

	if (fields.severity === 'FATAL') {
		connection.endWithError(fields);
		return;
	}

	runner.failTransaction();
	session.isSkipping = isFlush;
	connection.output.write(createErrorResponse(fields));
	if (!isFlush) {
		connection.output.write(createReadyForQuery(runner.readStatus()));
	}

	connection.output.flush();
}

/** Limits the idle time of a transaction, because an open transaction occupies an upstream connection. */
function registerIdleTimer(session: Session): void {
	const {connection, runner, context: {services}} = session;
	if (runner.isInTransaction()) {
		session.stopIdleTimer = services.clock.registerTimer(services.clock.readNow() + services.limits.idleTransactionTimeoutMs, () => {
			runner.stop();
			connection.endWithError({severity: 'FATAL', code: SQL_STATE.idleInTransaction, message: 'the transaction was idle for too long and was rolled back'});
		});
	}
}

/** Ends a draining session. Requests that have arrived, even in part, are run first. */
function endIfDrained(session: Session): void {
	const {isDraining, isEnding, connection, runner, batch} = session;
	const isDrained = isDraining && batch.length === 0 && !connection.hasQueuedFrames() && !runner.isInTransaction();
	if (connection.isOpen() && (isDrained || isEnding)) {
		endForShutdown(session);
	}
}

/** Closes the connection; the error also answers the requests that have arrived and were not run. */
function endForShutdown({connection}: Session): void {
	connection.endWithError({severity: 'FATAL', code: SQL_STATE.adminShutdown, message: 'this host is shutting down; connect to another host'});
}

async function waitForDrain({output}: ClientConnection): Promise<void> {
	if (output.isFull()) {
		await new Promise<void>(resolve => {
			output.registerDrainListener(resolve);
		});
	}
}

function endIfRefused({connection, context}: Session): void {
	const access = checkAccess(context.services, context.credentials);
	if (access.kind === 'refuse' && connection.isOpen()) {
		context.services.recordEvent('callerRefused', {session: context.sessionId, team: readTeam(context), reason: access.reason});
		connection.endWithError(convertAccessRefusal(access.reason));
	}
}
