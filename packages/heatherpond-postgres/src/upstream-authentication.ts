/** Authenticates the proxy to a database. */
import type {Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {BACKEND, type Frame} from 'heatherpond-wire';
import {UpstreamError} from './postgres-error.js';

/** Credentials with which the proxy connects to databases; client keys are never forwarded. */
export type UpstreamCredentials = {readonly user: string; readonly password: string};

const AUTHENTICATION_OK = 0;
const AUTHENTICATION_CLEARTEXT = 3;

/**
 * Creates a frame listener that handles authentication during the startup of a connection. It sends a password when the
 * database asks for one in clear text. The listener throws an UpstreamError when the database rejects the connection or
 * requires another authentication method.
 */
export function createAuthenticationListener(socket: Socket, credentials: UpstreamCredentials): (frame: Frame) => void {
	return frame => {
		if (frame.type === BACKEND.errorResponse) {
			throw new UpstreamError('the database rejected the connection during startup');
		}

		if (frame.type !== BACKEND.authentication) {
			return;
		}

		const method = frame.body.readInt32BE();
		if (method === AUTHENTICATION_CLEARTEXT) {
			socket.write(serialize.password(credentials.password));
		} else if (method !== AUTHENTICATION_OK) {
			throw new UpstreamError(`the database requires authentication method ${method}; only cleartext passwords are supported`);
		}
	};
}
