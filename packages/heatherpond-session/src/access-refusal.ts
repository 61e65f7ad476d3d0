/** Refusals of statements whose client may not use its route. */
import {createRefusal, type Refusal} from './refusal.js';
import type {SessionAccess} from './session-services.js';

/** Retry-after hint, in milliseconds, while the host cannot verify that its contracts are current. */
const UNVERIFIED_RETRY_AFTER_MS = 200;

/** Creates the refusal for a reason of the authorization. */
export function createAccessRefusal(reason: Extract<SessionAccess, {kind: 'refuse'}>['reason']): Refusal {
	switch (reason) {
		case 'unknown_database': {
			return createRefusal('unknown_database', 'unknown database: no route has this name');
		}

		case 'unknown_key': {
			return createRefusal('unknown_key', 'the API key is unknown or has been withdrawn');
		}

		case 'unsendable_name': {
			return createRefusal('malformed', 'the name of the team or of the database group cannot be sent to databases');
		}

		case 'unverified':
		case 'unverified_here': {
			return createRefusal('busy', 'the contracts cannot be verified at the moment; retry later', UNVERIFIED_RETRY_AFTER_MS);
		}
	}
}
