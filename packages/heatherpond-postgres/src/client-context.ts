/** State shared by the modules that serve one client session. */
import {ANONYMOUS_TEAM, type Credentials} from 'heatherpond-core';
import type {SessionNames} from './client-request.js';
import type {ClientOutput} from './client-output.js';
import type {ClientServices} from './client-services.js';
import type {ClientSettings} from './client-settings.js';

/** State of one client session. */
export type ClientContext = {
	readonly sessionId: string;
	readonly services: ClientServices;
	readonly credentials: Credentials;
	readonly output: ClientOutput;
	readonly names: SessionNames;
	/** Current settings; replaced as a whole by every change. */
	settings: ClientSettings;
};

/** Returns the team whose limits the session counts towards. */
export function readTeam(context: ClientContext): string {
	return context.credentials.keyHash ? context.credentials.team : ANONYMOUS_TEAM;
}
