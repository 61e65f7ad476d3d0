/** Converts refusals and errors of the lower layers into the error fields that are sent to the client. */
import {
	RefusalError, TokenError, UnprovenError, type AccessRefusal, type RefusalReason,
} from 'heatherpond-core';
import {WireError, type ErrorFields} from 'heatherpond-wire';
import {RequestError, UpstreamError} from './postgres-error.js';
import {SettingError} from './setting-error.js';
import {SQL_STATE} from './sql-states.js';
import {UnsupportedStatementError} from './unsupported-statement-error.js';
import {WriteLostError} from './write-lost-error.js';

const ACCESS_MESSAGE: Readonly<Record<AccessRefusal, string>> = {
	unknown_route: 'the requested database does not exist',
	missing_key: 'a key is required as the password',
	unknown_key: 'the key is not valid',
	withdrawn_key: 'the key has been withdrawn',
	wrong_team: 'the key belongs to a team other than the one given as the user',
	no_contract: 'the team has no contract',
	route_not_allowed: 'the contract of the team does not include this database',
	unverified_view: 'the key cannot be verified: this host has not confirmed its configuration recently',
};

/** Retry delay in milliseconds that is suggested to the client when no database could be reached. */
const NO_UPSTREAM_RETRY_MS = 500;

/** Creates the error of a refused login or of a session whose access was revoked. */
export function convertAccessRefusal(reason: AccessRefusal): ErrorFields {
	const code = reason === 'unknown_route' ? SQL_STATE.unknownDatabase : SQL_STATE.invalidPassword;
	return {
		severity: 'FATAL', code, message: ACCESS_MESSAGE[reason], detail: `reason=${reason}`,
	};
}

/** Creates the error of a request that was not sent to any database; the hint names the retry delay. */
export function createNotRunError(reason: RefusalReason, retryAfterMs: number): ErrorFields {
	return {
		severity: 'ERROR',
		code: reason === 'over_rate' ? SQL_STATE.overRate : SQL_STATE.notRun,
		message: `the request was not run: ${reason.replaceAll('_', ' ')}`,
		detail: `reason=${reason}`,
		hint: `retry_after_ms=${Math.ceil(retryAfterMs)}`,
	};
}

/** Progress of a request at the time of its error. */
export type RequestProgress = {
	readonly isRead: boolean;
	/** Whether the request had been sent to a database. */
	readonly wasDispatched: boolean;
	/** Whether a part of the response had been sent to the client. */
	readonly hasResponseStarted: boolean;
	readonly isCanceled: boolean;
};

/** Converts the error of a failed request; the progress decides whether its outcome is known. */
export function convertRequestError(error: unknown, progress: RequestProgress): ErrorFields {
	const fields = convertKnownError(error) ?? convertByProgress(error, progress);
	// A response that was sent in part cannot be continued, so the connection has to end.
	return progress.hasResponseStarted ? {...fields, severity: 'FATAL'} : fields;
}

/** Converts errors whose meaning does not depend on the progress of the request. */
function convertKnownError(error: unknown): ErrorFields | undefined {
	if (error instanceof RequestError) {
		return error.fields;
	}

	if (error instanceof TokenError) {
		return {severity: 'ERROR', code: SQL_STATE.invalidToken, message: error.message};
	}

	if (error instanceof SettingError) {
		return {severity: 'ERROR', code: SQL_STATE.invalidParameter, message: error.message};
	}

	if (error instanceof UnsupportedStatementError) {
		return {severity: 'ERROR', code: SQL_STATE.notSupported, message: error.message};
	}

	if (error instanceof WriteLostError) {
		return {severity: 'ERROR', code: error.reason === 'write_lost' ? SQL_STATE.writeLost : SQL_STATE.futureToken, message: error.message};
	}

	if (error instanceof WireError) {
		return error.reason === 'encoding'
			? {severity: 'ERROR', code: SQL_STATE.invalidEncoding, message: error.message}
			: {severity: 'FATAL', code: SQL_STATE.protocolViolation, message: error.message};
	}

	return undefined;
}

function convertByProgress(error: unknown, {isRead, wasDispatched, isCanceled}: RequestProgress): ErrorFields {
	if (wasDispatched && !isRead) {
		return {
			severity: 'ERROR',
			code: SQL_STATE.outcomeUnknown,
			message: `the outcome of the request is unknown: ${formatUnknownCause(error, isCanceled)}`,
			detail: `reason=${formatUnknownReason(error, isCanceled)}`,
		};
	}

	if (isCanceled) {
		return {severity: 'ERROR', code: SQL_STATE.queryCanceled, message: wasDispatched ? 'the request was canceled' : 'the request was canceled before it was run'};
	}

	if (error instanceof UpstreamError && error.isTooLarge) {
		return {severity: 'ERROR', code: SQL_STATE.limitExceeded, message: 'a row of the response exceeds the message size limit of this host'};
	}

	if (wasDispatched) {
		return {severity: 'ERROR', code: SQL_STATE.readUnanswered, message: 'no database responded to the read; it changed nothing and can be repeated'};
	}

	return error instanceof RefusalError ? createNotRunError(error.reason, error.retryAfterMs) : createNotRunError('no_upstream', NO_UPSTREAM_RETRY_MS);
}

function formatUnknownCause(error: unknown, isCanceled: boolean): string {
	if (error instanceof UnprovenError) {
		return 'the database could not be confirmed as the current primary';
	}

	return isCanceled ? 'it was canceled after it had been sent to a database' : 'the database did not respond';
}

function formatUnknownReason(error: unknown, isCanceled: boolean): string {
	if (error instanceof UnprovenError) {
		return error.reason;
	}

	return isCanceled ? 'canceled' : (error instanceof UpstreamError && error.isTimeout ? 'timeout' : 'connection_lost');
}
