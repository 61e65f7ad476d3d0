/** Datagrams between hosts: accounts of usage, promotions under way, and their confirmations. */
import type {Deadline} from 'heatherpond-core';
import {z} from 'zod/mini';
import {
	confirmationSchema, hostSchema, parseRecord, primacySchema, suspicionSchema, type ConfirmationRecord, type HostRecord, type PrimacyRecord, type SuspicionRecord,
} from './fleet-records.js';
import type {AskHost} from './domain-reader.js';
import type {FleetServices} from './fleet-services.js';
import type {Versioned} from './fleet-state.js';
import {FORGOTTEN_MS} from './promotion-choices.js';
import type {TablePage} from './store-port.js';
import type {AskGrant, Grant} from './team-limits.js';
import {usageReportSchema, type UsageReport} from './usage-report.js';

/** Milliseconds after which a host of another domain is no longer sent anything, as its row was last read. */
const REMOTE_PEER_EXPIRY_MS = 30_000;

/** A page of a table as it is passed on. */
const pageSchema = z.object({
	rows: z.array(z.object({key: z.string(), version: z.number(), value: z.optional(z.string())})),
	version: z.number(),
	storeNow: z.number(),
	ageMs: z.optional(z.number()),
});

/** A run of a host that another host has registered, as of one of its reports. */
const registeredIncarnationSchema = z.object({incarnation: z.string(), sequence: z.number()});

export type RegisteredRun = z.infer<typeof registeredIncarnationSchema>;

/** What a host that refreshes registrations tells its failure domain. */
const registrationUpdateSchema = z.object({
	runs: z.array(registeredIncarnationSchema),
	/** Some of the hosts of other failure domains, as last read from the store. */
	farHosts: z.array(hostSchema),
});

export type RegistrationNews = z.infer<typeof registrationUpdateSchema>;

const messageSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('usage'), report: usageReportSchema, isRelayed: z.boolean()}),
	z.object({kind: z.literal('registered'), news: registrationUpdateSchema}),
	z.object({kind: z.literal('primacy'), record: primacySchema, version: z.number()}),
	z.object({kind: z.literal('confirmation'), record: confirmationSchema}),
	z.object({
		kind: z.literal('question'), id: z.string(), table: z.string(), after: z.number(), address: z.string(), port: z.number(),
	}),
	z.object({kind: z.literal('answer'), id: z.string(), page: z.optional(pageSchema)}),
	z.object({
		kind: z.literal('grant-question'), id: z.string(), team: z.string(), wanted: z.number(), address: z.string(), port: z.number(),
	}),
	z.object({
		kind: z.literal('grant'), id: z.string(), granted: z.number(), retryAfterMs: z.number(),
	}),
	z.object({kind: z.literal('suspicion'), record: suspicionSchema, isSuspected: z.boolean()}),
]);

type HostMessage = z.infer<typeof messageSchema>;

/** Sends datagrams to hosts and takes theirs. */
export type DatagramPort = {
	readonly send: (text: string, address: string, port: number) => void;
	readonly registerListener: (listener: (text: string) => void) => void;
};

/** What is done with messages of other hosts. */
export type HostMessageHandlers = {
	/** Takes a report; one of another domain that was not relayed yet is told to the own domain. */
	readonly handleUsage: (report: UsageReport, isRelayed: boolean) => void;
	/** Takes note that another host has refreshed registrations. */
	readonly handleRegistered: (news: RegistrationNews) => void;
	readonly handlePrimacy: (primacy: Versioned<PrimacyRecord>) => void;
	readonly handleConfirmation: (confirmation: ConfirmationRecord) => void;
	readonly handleSuspicion: (suspicion: SuspicionRecord, isSuspected: boolean) => void;
	/** Answers what this host knows of a table, if it does. */
	readonly readTableChanges: (table: string, after: number) => TablePage | undefined;
	/** Decides how many operations of a team another host of the failure domain may let through. */
	readonly decideGrant: (team: string, wanted: number) => Grant;
};

/** Sends messages to all other hosts that may rely on leases. */
export type HostMessages = {
	readonly sendUsage: (report: UsageReport, isReceiver: (host: HostRecord) => boolean) => void;
	/** Passes the report of another domain on within the own one. */
	readonly sendRelayed: (report: UsageReport) => void;
	/** Tells the hosts of the own failure domain which registrations this one has refreshed. */
	readonly sendRegistered: (news: RegistrationNews) => void;
	readonly sendPrimacy: (primacy: Versioned<PrimacyRecord>) => void;
	readonly sendConfirmation: (confirmation: ConfirmationRecord) => void;
	readonly sendSuspicion: (suspicion: SuspicionRecord, isSuspected: boolean) => void;
	/** Counts the other hosts that may rely on leases. */
	readonly countPeers: () => number;
	/** Asks one host what it knows of a table; resolves to nothing when it does not answer in time. */
	readonly ask: AskHost;
	/** Asks one host for operations of a team; resolves to nothing when it does not answer in time. */
	readonly askGrant: AskGrant;
	/** The other hosts that may rely on leases. */
	readonly readPeers: () => readonly HostRecord[];
	readonly registerHandlers: (handlers: HostMessageHandlers) => void;
};

/** Starts to exchange messages. */
export function createHostMessages({blackboard, clock, identity}: Pick<FleetServices, 'blackboard' | 'clock' | 'identity'>, datagrams: DatagramPort): HostMessages {
	function findPeers(): readonly HostRecord[] {
		const {hosts, storeClockOffset} = blackboard.read();
		const storeNow = clock.readNow() + storeClockOffset;
		// Hosts of the own domain are heard themselves; rows of the others are read now and then.
		return [...hosts.values()].filter(record => record.host !== identity.host
			&& storeNow < record.refreshedAt + (record.domain === identity.domain ? FORGOTTEN_MS : REMOTE_PEER_EXPIRY_MS));
	}

	/** Answers that are waited for, by question. */
	const pendingRequests = new Map<string, (answer: ResponseMessage | undefined) => void>();
	let requestCount = 0;

	function handleResponse(id: string, answer: ResponseMessage | undefined): void {
		pendingRequests.get(id)?.(answer);
		pendingRequests.delete(id);
	}

	async function sendRequest({address, port}: HostRecord, createQuestion: (id: string) => HostMessage, deadline: Deadline): Promise<ResponseMessage | undefined> {
		requestCount++;
		const id = `${identity.incarnation}-${requestCount}`;
		return new Promise<ResponseMessage | undefined>(resolve => {
			const stopTimer = clock.registerTimer(deadline, () => {
				handleResponse(id, undefined);
			});
			pendingRequests.set(id, answer => {
				stopTimer();
				resolve(answer);
			});
			datagrams.send(JSON.stringify(createQuestion(id)), address, port);
		});
	}

	const {address: ownAddress, port: ownPort} = identity;

	function sendToPeers(message: HostMessage, isReceiver: (host: HostRecord) => boolean = () => true): void {
		const text = JSON.stringify(message);
		findPeers().filter(isReceiver).forEach(({address, port}) => {
			datagrams.send(text, address, port);
		});
	}

	return {
		sendUsage(report, isReceiver) {
			sendToPeers({kind: 'usage', report, isRelayed: false}, isReceiver);
		},
		sendRelayed(report) {
			sendToPeers({kind: 'usage', report, isRelayed: true}, ({domain}) => domain === identity.domain);
		},
		readPeers: findPeers,
		sendRegistered(news) {
			sendToPeers({kind: 'registered', news}, ({domain}) => domain === identity.domain);
		},
		sendPrimacy({record, version}) {
			sendToPeers({kind: 'primacy', record, version});
		},
		sendConfirmation(record) {
			sendToPeers({kind: 'confirmation', record});
		},
		sendSuspicion(record, isSuspected) {
			sendToPeers({kind: 'suspicion', record, isSuspected});
		},
		countPeers: () => findPeers().length,
		async ask(host, {table, after}, deadline) {
			const answer = await sendRequest(host, id => ({
				kind: 'question', id, table, after, address: ownAddress, port: ownPort,
			}), deadline);
			return answer?.kind === 'answer' ? answer.page : undefined;
		},
		async askGrant(host, {team, wanted}, deadline) {
			const answer = await sendRequest(host, id => ({
				kind: 'grant-question', id, team, wanted, address: ownAddress, port: ownPort,
			}), deadline);
			return answer?.kind === 'grant' ? answer : undefined;
		},
		registerHandlers(handlers) {
			datagrams.registerListener(text => {
				const message = parseRecord(messageSchema, text);
				switch (message?.kind) {
					case 'question':
					case 'grant-question': {
						datagrams.send(JSON.stringify(createResponse(message, handlers)), message.address, message.port);
						break;
					}

					case 'answer':
					case 'grant': {
						handleResponse(message.id, message);
						break;
					}

					default: {
						handleNotification(message, handlers);
						break;
					}
				}
			});
		},
	};
}

type RequestMessage = Extract<HostMessage, {readonly kind: 'question' | 'grant-question'}>;
type ResponseMessage = Extract<HostMessage, {readonly kind: 'answer' | 'grant'}>;
type NotificationMessage = Exclude<HostMessage, RequestMessage | ResponseMessage>;

function createResponse(question: RequestMessage, handlers: HostMessageHandlers): ResponseMessage {
	if (question.kind === 'grant-question') {
		return {kind: 'grant', id: question.id, ...handlers.decideGrant(question.team, question.wanted)};
	}

	const page = handlers.readTableChanges(question.table, question.after);
	return {kind: 'answer', id: question.id, page: page && {...page, rows: [...page.rows]}};
}

function handleNotification(message: NotificationMessage | undefined, handlers: HostMessageHandlers): void {
	switch (message?.kind) {
		case 'usage': {
			handlers.handleUsage(message.report, message.isRelayed);
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

		case 'confirmation': {
			handlers.handleConfirmation(message.record);
			break;
		}

		case 'suspicion': {
			handlers.handleSuspicion(message.record, message.isSuspected);
			break;
		}

		case undefined: {
			// Datagrams of other programs or versions are none of ours.
			break;
		}
	}
}
