/** Passes the messages of other hosts to their handlers, and creates the responses to requests. */
import type {ConfirmationRecord, PrimacyRecord, SuspicionRecord} from './fleet-records.js';
import type {Versioned} from './fleet-state.js';
import type {
	HostContact, NotificationMessage, RegistrationUpdate, RequestMessage, ResponseMessage,
} from './host-message.js';
import type {CachedChanges} from './table-cache.js';
import type {Grant} from './team-limits.js';
import type {DomainDigest, UsageReport} from './usage-report.js';

/** A request for the changes of a table. */
type QuestionMessage = Extract<RequestMessage, {readonly kind: 'question'}>;

/** Handlers for the messages of other hosts. */
export type HostMessageHandlers = {
	/** Handles a usage report; the report of another domain is relayed to the own domain, unless it has been relayed already. */
	readonly handleUsage: (report: UsageReport, isRelayed: boolean) => void;
	/** Handles the introduction of a host that has just started; returns hosts of its domain. */
	readonly handleIntroduction: (host: HostContact) => readonly HostContact[];
	/** Handles the response of a seed to the introduction of this host. */
	readonly handleIntroduced: (hosts: readonly HostContact[]) => void;
	/** Handles the digest of the own domain's leader. */
	readonly handleDigest: (digest: DomainDigest) => void;
	/** Handles the notice that another host has refreshed registrations. */
	readonly handleRegistered: (news: RegistrationUpdate) => void;
	readonly handlePrimacy: (primacy: Versioned<PrimacyRecord>) => void;
	readonly handleConfirmation: (confirmation: ConfirmationRecord) => void;
	readonly handleSuspicion: (suspicion: SuspicionRecord, isSuspected: boolean) => void;
	/** Reads the changes of a table since a version for another host. */
	readonly readTableChanges: (table: string, after: number) => CachedChanges;
	/** Decides how many operations of a team another host of the failure domain may admit. */
	readonly decideGrant: (team: string, wanted: number) => Promise<Grant>;
	/** Decides how many tokens of a team the leader of another domain is given. */
	readonly decideTransfer: (team: string, wanted: number) => number;
};

/** Creates the response to a request that is not for changes; rejects when its handler fails. */
export async function createResponse(request: Exclude<RequestMessage, QuestionMessage>, handlers: HostMessageHandlers): Promise<ResponseMessage> {
	if (request.kind === 'grant-question') {
		return {kind: 'grant', id: request.id, ...await handlers.decideGrant(request.team, request.wanted)};
	}

	if (request.kind === 'transfer-question') {
		return {kind: 'transfer', id: request.id, given: handlers.decideTransfer(request.team, request.wanted)};
	}

	handlers.handleConfirmation(request.record);
	return {kind: 'confirmed', id: request.id};
}

/** Creates the response to a request for changes at once, so that the responses to several requests share a datagram. */
export function createAnswer(request: QuestionMessage, handlers: HostMessageHandlers): ResponseMessage {
	const changes = handlers.readTableChanges(request.table, request.after);
	return changes.kind === 'page'
		? {kind: 'answer', id: request.id, page: {...changes.page, rows: [...changes.page.rows]}}
		: {kind: 'answer', id: request.id, isTooLarge: changes.kind === 'too_large'};
}

/** Passes a message that needs no response to its handler. */
export function handleNotification(message: NotificationMessage | undefined, handlers: HostMessageHandlers): void {
	switch (message?.kind) {
		case 'usage': {
			handlers.handleUsage(message.report, message.isRelayed);
			break;
		}

		case 'introduced': {
			handlers.handleIntroduced(message.hosts);
			break;
		}

		case 'digest': {
			handlers.handleDigest(message.digest);
			break;
		}

		case 'registered': {
			handlers.handleRegistered(message.news);
			break;
		}

		case 'primacy': {
			handlers.handlePrimacy({record: message.record, version: message.version});
			break;
		}

		case 'suspicion': {
			handlers.handleSuspicion(message.record, message.isSuspected);
			break;
		}

		case undefined: {
			// Datagrams of other programs or incompatible versions are ignored.
			break;
		}
	}
}
