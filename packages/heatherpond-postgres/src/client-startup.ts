/** Handles the first messages of a connection: the TLS request, startup and password, or a cancel request. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import type {SecureContext} from 'node:tls';
import {
	decideAccess, readKeyStamp, type AccessDecision, type Credentials,
} from 'heatherpond-core';
import {
	createPasswordRequest, FRONTEND, parseStartup, parseText, WireError, type Frame,
} from 'heatherpond-wire';
import type {ClientConnection} from './client-connection.js';
import {convertAccessRefusal} from './client-error.js';
import type {ClientServices} from './client-services.js';
import type {CancelRegistry} from './cancel-registry.js';

/** An authenticated client whose access to its route was granted. */
export type AcceptedClient = {
	readonly credentials: Credentials;
	readonly access: Extract<AccessDecision, {kind: 'allow'}>;
	/** Parameters of the startup message. */
	readonly parameters: ReadonlyMap<string, string>;
};

/** Options of `handleStartupFrame`. */
export type ClientStartupOptions = {
	readonly connection: ClientConnection;
	readonly services: ClientServices;
	readonly cancelRegistry: CancelRegistry;
	/** Certificate and key for TLS; absent if the server does not offer it. */
	readonly secureContext?: SecureContext;
	/** Called once, after a successful login. */
	readonly onAccepted: (client: AcceptedClient) => void;
};

const TLS_ACCEPTED = Uint8Array.of('S'.codePointAt(0)!);
const TLS_REFUSED = Uint8Array.of('N'.codePointAt(0)!);

/** Decides whether the credentials currently grant access to their route. */
export function checkAccess({blackboard, clock}: ClientServices, credentials: Credentials): AccessDecision {
	const {
		view, stamp, identity, peers,
	} = blackboard.read();
	const now = clock.readNow();
	const keyStamp = readKeyStamp(stamp, {
		view, host: identity.host, incarnation: identity.incarnation, peerAddress: identity.peerAddress, peers, now,
	});
	return decideAccess(view, keyStamp, credentials, now);
}

/** Handles the first message of a connection. */
export function handleStartupFrame(options: ClientStartupOptions, frame: Frame): void {
	const {connection, cancelRegistry} = options;
	const message = parseStartup(frame.body);
	switch (message.kind) {
		case 'encryption': {
			handleEncryption(options);
			break;
		}

		case 'cancel': {
			cancelRegistry.cancel(message);
			connection.end();
			break;
		}

		case 'startup': {
			handleParameters(options, message.parameters);
			break;
		}
	}
}

function handleEncryption({connection, secureContext}: ClientStartupOptions): void {
	connection.expectStartup();
	connection.output.write(Buffer.from(secureContext ? TLS_ACCEPTED : TLS_REFUSED));
	connection.output.flush();
	if (secureContext) {
		connection.startTls(secureContext);
	}
}

function handleParameters(options: ClientStartupOptions, parameters: ReadonlyMap<string, string>): void {
	const {connection, services} = options;
	const team = parameters.get('user') ?? '';
	const route = parameters.get('database') ?? team;
	const isOpen = services.blackboard.read().view.routes[route]?.open ?? false;
	if (isOpen) {
		handleCredentials(options, {team, route}, parameters);
		return;
	}

	connection.output.write(createPasswordRequest());
	connection.output.flush();
	connection.updateHandler(frame => {
		if (frame.type !== FRONTEND.password) {
			throw new WireError('expected a password message');
		}

		handleCredentials(options, {team, route, keyHash: createKeyHash(parseText(frame.body))}, parameters);
	});
}

function createKeyHash(key: string): string | undefined {
	return key === '' ? undefined : createHash('sha256').update(key).digest('hex');
}

function handleCredentials(options: ClientStartupOptions, credentials: Credentials, parameters: ReadonlyMap<string, string>): void {
	const access = checkAccess(options.services, credentials);
	if (access.kind === 'allow') {
		options.onAccepted({credentials, access, parameters});
		return;
	}

	options.services.recordEvent('callerRefused', {team: credentials.team, reason: access.reason});
	options.connection.endWithError(convertAccessRefusal(access.reason));
}
