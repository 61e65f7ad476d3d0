/** Errors of the session engine. */
import ModernError from 'modern-errors';
import {createRefusal, type Refusal} from './refusal.js';

/** Base class of all errors of the session engine. */
export const SessionError = ModernError.subclass('SessionError');

const NO_REFUSAL: Refusal = createRefusal('aborted', '');

/** Aborts the execution of a statement; its `refusal` is the reply to the client. */
export const RefusedError = SessionError.subclass('RefusedError', {props: {refusal: NO_REFUSAL}});

/** Why a command or a connection attempt at a database failed. */
export type UpstreamFailure
	/** The connection was refused, reset or closed. */
	= | 'closed'
	/** No response arrived before the deadline. */
		| 'silent'
	/** The database accepted the connection, but no response arrived before the deadline; it may be overloaded. */
		| 'unresponsive'
	/** The database is at its connection limit, or no pooled connection became free before the deadline. */
		| 'too_many'
	/** A different database responds at the address. */
		| 'wrong_database'
	/** The response could not be parsed. */
		| 'unreadable'
	/** The statement could not be run before its deadline, because too many others wait for the database. */
		| 'overloaded'
	/** The deadline had passed before anything was sent; the connection stays open. */
		| 'expired'
	/** The response does not fit into the memory that this host has left for messages. */
		| 'no_memory'
	/** A name or value cannot be sent unchanged in the protocol of the database; nothing was sent. */
		| 'unsendable'
	/** Whoever waited for the database has left, or the host stops; nothing was sent. */
		| 'cancelled'
	/** The failure domain of the database is evacuated, so nothing is sent to it any more. */
		| 'evacuated'
	/** The host that relays the connection cannot be reached; the database itself may be healthy. */
		| 'relay';

const NO_FAILURE = 'closed' as UpstreamFailure;

/** A command or connection attempt at a database failed without a usable response; `wasSent` tells whether the command may have reached it. */
export const UpstreamError = SessionError.subclass('UpstreamError', {props: {failure: NO_FAILURE, wasSent: false, retryAfterMs: 0}});

/** Creates the error that aborts a statement with a refusal. */
export function createRefusedError(refusal: Refusal): Error {
	return new RefusedError(refusal.reason, {props: {refusal}});
}

/** Creates the error of a command or connection attempt that failed without a usable response; `wasSent` tells whether the command may have reached the database. */
export function createUpstreamError(message: string, failure: UpstreamFailure, wasSent: boolean): Error {
	return new UpstreamError(message, {props: {failure, wasSent}});
}

/** Creates the error of a command that is not sent any more, because its deadline has passed. */
export function createExpiredError(): Error {
	return createUpstreamError('the deadline had passed before the command was sent', 'expired', false);
}

/** Creates the error of a statement for which a database has no room; `retryAfterMs` is when room is expected. */
export function createOverloadError(retryAfterMs: number): Error {
	return new UpstreamError('too many statements wait for the database', {props: {failure: 'overloaded', wasSent: false, retryAfterMs}});
}
