/** Errors of the PostgreSQL adapters, towards databases and clients. */
import type {ErrorFields} from 'heatherpond-wire';
import ModernError from 'modern-errors';

/**
 * A connection to a database could not be opened or was lost. `wasDispatched` tells whether the request had been sent,
 * `isTimeout` whether a deadline expired, and `isTooLarge` whether a message of the response exceeded the size limit.
 */
export const UpstreamError = ModernError.subclass('UpstreamError', {
	props: {wasDispatched: false, isTimeout: false, isTooLarge: false},
});

const NO_FIELDS: ErrorFields = {severity: 'ERROR', code: 'XX000', message: ''};

/** A request failed; `fields` is sent to the client, and severity FATAL also closes its connection. */
export const RequestError = ModernError.subclass('RequestError', {props: {fields: NO_FIELDS}});

/** Creates the error of a request that the proxy rejects before sending it to a database. */
export function createRequestError(code: string, message: string): Error {
	return new RequestError(message, {props: {fields: {severity: 'ERROR', code, message}}});
}
