/** State shared by the modules that serve one client session. */
import {ANONYMOUS_TEAM, type Credentials} from 'heatherpond-core';
import type {SessionNames} from './caller-request.js';
import type {ClientOutput} from './caller-output.js';
import type {CallerServices} from './caller-services.js';
import type {ClientSettings} from './caller-settings.js';

/** State of one client session. */
export type CallerContext = {
	readonly sessionId: string;
	readonly services: CallerServices;
	readonly credentials: Credentials;
	readonly output: ClientOutput;
	readonly names: SessionNames;
	/** Current settings; replaced as a whole by every change. */
	settings: ClientSettings;
};

/** Returns the team whose limits the session counts towards. */
export function readTeam(context: CallerContext): string {
	return context.credentials.keyHash ? context.credentials.team : ANONYMOUS_TEAM;
}
