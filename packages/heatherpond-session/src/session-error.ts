/** Errors of the session layer. */
import ModernError from 'modern-errors';
import {createRefusal, type Refusal} from './refusal.js';

/** Base of every error of the layer. */
export const SessionError = ModernError.subclass('SessionError');

const NO_REFUSAL: Refusal = createRefusal('aborted', '');

/** Ends the work on a statement with an answer to its caller. */
export const RefusedError = SessionError.subclass('RefusedError', {props: {refusal: NO_REFUSAL}});

/** Why a database did not answer. */
export type UpstreamFailure
	/** The connection was refused, reset or closed. */
	= | 'closed'
	/** Nothing came in time. */
		| 'silent'
	/** The database has no room for another connection, or no connection became free in time. */
		| 'too_many'
	/** Another database has taken over the address. */
		| 'wrong_database'
	/** What came cannot be read. */
		| 'unreadable'
	/** The host that holds the connection cannot be reached; the database may be well. */
		| 'relay';

const NO_FAILURE = 'closed' as UpstreamFailure;

/** A database did not answer; `wasSent` tells whether the statement may have reached it. */
export const UpstreamError = SessionError.subclass('UpstreamError', {props: {failure: NO_FAILURE, wasSent: false}});

/** Creates the error that ends the work on a statement with a refusal. */
export function createRefusedError(refusal: Refusal): Error {
	return new RefusedError(refusal.reason, {props: {refusal}});
}

/** Creates the error of a database that did not answer. */
export function createUpstreamError(message: string, failure: UpstreamFailure, wasSent: boolean): Error {
	return new UpstreamError(message, {props: {failure, wasSent}});
}
