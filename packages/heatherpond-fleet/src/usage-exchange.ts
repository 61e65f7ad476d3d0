/**
 * Exchanges accounts: each host tells those of its failure domain, and one host of each domain tells all others the sums.
 */
import {runPeriodically, type Instant} from 'heatherpond-core';
import {findReader, type DomainMate, type FindReader} from './domain-reader.js';
import type {HostRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {HostMessages, RegisteredRun} from './host-messages.js';
import type {TeamUsage} from './team-limits.js';
import type {UsageReport} from './usage-report.js';

/** Milliseconds between two reports. */
const REPORT_MS = 1200;
/** Milliseconds after which a host that has sent nothing counts as unheard. */
const HEARD_MS = 2800;
/** Milliseconds between two reports at the least that are sent because another host has just started. */
const ANSWER_MS = 100;
/** Milliseconds for which the account of a domain that is no longer heard still counts. */
const KEEP_MS = 15_000;
/** Hosts of a domain that is not heard which are told of this one. */
const FAR_RECEIVERS = 2;
/** Own reports whose instants are remembered; a registration that is older is of no use. */
const REMEMBERED_REPORTS = 8;

/** What this host tells of itself. */
export type OwnUsage = Pick<UsageReport, 'isVerified' | 'teams' | 'databases'>;

/** What is known of the other hosts. */
export type UsageExchange = {
	/** Takes the account of another host. */
	readonly applyReport: (report: UsageReport, isRelayed: boolean) => void;
	readonly readTeam: (team: string) => TeamUsage;
	/** Tells the others that this host has stopped to work. */
	readonly sendFarewell: () => void;
	/** Finds the host that reads the store and decides on limits for the failure domain; nothing when this one does. */
	readonly findReader: FindReader;
	/** The last reports of the other hosts of the failure domain that are heard. */
	readonly readHeardReports: () => readonly HeardReport[];
	/** Finds when this host sent a report of its own; nothing when it was long ago, or of another run. */
	readonly findSentAt: (run: RegisteredRun) => Instant | undefined;
	/** Whether another host that has been heard lately can verify the contracts. */
	readonly isVerifiedElsewhere: () => boolean;
	/** Statements that other hosts have at work on a database. */
	readonly countForeignStatements: (database: string) => number;
	/** Connections that other hosts have open to a database. */
	readonly countForeignConnections: (database: string) => number;
};

/** How the exchange runs. */
export type UsageExchangeOptions = {
	readonly services: FleetServices;
	readonly messages: HostMessages;
	readonly readOwn: () => OwnUsage;
	readonly signal: AbortSignal;
};

/** A report of another host, and when it was heard. */
export type HeardReport = {readonly report: UsageReport; readonly heardAt: Instant};

/** Starts the exchange; it ends with the signal. */
export function startUsageExchange({services, messages, readOwn, signal}: UsageExchangeOptions): UsageExchange {
	const {clock, identity} = services;
	/** Last report by host of the own domain, and by other domain. */
	const mates = new Map<string, HeardReport>();
	const startedAt = clock.readNow();
	const domains = new Map<string, HeardReport>();
	let sequence = 0;
	const sentAt = new Map<number, Instant>();
	let lastAnsweredAt: Instant = Number.NEGATIVE_INFINITY;

	function isLately({heardAt}: HeardReport): boolean {
		return heardAt + HEARD_MS > clock.readNow();
	}

	function readHeardMates(): readonly UsageReport[] {
		return [...mates.values()].filter(isLately).map(({report}) => report);
	}

	function readMates(): readonly DomainMate[] {
		return messages.readPeers().flatMap(record => {
			const heard = record.domain === identity.domain ? mates.get(record.host) : undefined;
			return heard && isLately(heard) ? [{...record, startedAt: heard.heardAt - heard.report.runningMs}] : [];
		});
	}

	function findDomainReader(): HostRecord | undefined {
		return findReader({host: identity.host, startedAt}, readMates(), clock.readNow());
	}

	async function sendReport(hasLeft = false): Promise<void> {
		sequence++;
		sentAt.set(sequence, clock.readNow());
		sentAt.delete(sequence - REMEMBERED_REPORTS);
		const report: UsageReport = {
			host: identity.host, incarnation: identity.incarnation, sequence, domain: identity.domain, isOfDomain: false, hasLeft, runningMs: Math.round(clock.readNow() - startedAt), ...readOwn(),
		};
		messages.sendUsage(report, ({domain}) => domain === identity.domain);
		if (!hasLeft && !findDomainReader()) {
			const receivers = findFarReceivers();
			messages.sendUsage(collectReports(report, readHeardMates()), ({host}) => receivers.has(host));
		}

		const now = clock.readNow();
		[mates, domains].forEach(heard => {
			[...heard].filter(([, {heardAt}]) => heardAt + KEEP_MS < now).forEach(([name]) => {
				heard.delete(name);
			});
		});
	}

	function applyReport(report: UsageReport, isRelayed: boolean): void {
		const isMate = report.domain === identity.domain;
		const [heard, name] = isMate ? [mates, report.host] as const : [domains, report.domain] as const;
		const last = heard.get(name)?.report;
		const isSameRun = last?.incarnation === report.incarnation;
		if (report.host === identity.host || report.isOfDomain === isMate || (isSameRun && last.sequence >= report.sequence)) {
			return;
		}

		if (report.hasLeft) {
			heard.delete(name);
			return;
		}

		heard.set(name, {report, heardAt: clock.readNow()});
		if (report.isOfDomain && !isRelayed) {
			messages.sendRelayed(report);
		}

		if (!isSameRun) {
			answerNewcomer();
		}
	}

	/** Finds the host of each other domain that speaks for it, or the first ones by name as long as none is heard. */
	function findFarReceivers(): ReadonlySet<string> {
		const far = messages.readPeers().filter(({domain}) => domain !== identity.domain);
		return new Set([...new Set(far.map(({domain}) => domain))].flatMap(domain => {
			const heard = domains.get(domain);
			const names = far.filter(peer => peer.domain === domain).map(({host}) => host).toSorted();
			return heard && isLately(heard) && names.includes(heard.report.host) ? [heard.report.host] : names.slice(0, FAR_RECEIVERS);
		}));
	}

	/** A host that has just started takes its share by what the others are asked for. */
	function answerNewcomer(): void {
		const now = clock.readNow();
		if (now >= lastAnsweredAt + ANSWER_MS) {
			lastAnsweredAt = now;
			void sendReport();
		}
	}

	function readTeam(team: string): TeamUsage {
		const peers = messages.readPeers();
		const known = [...domains.values()].map(({report}) => report);
		const heardMates = readHeardMates();
		const mateCount = peers.filter(({domain}) => domain === identity.domain).length;
		const domainHosts = heardMates.length + 1;
		const otherDomains = new Set(peers.map(({domain}) => domain).filter(domain => domain !== identity.domain && !domains.has(domain)));
		return {
			others: {
				offeredPerSecond: countOffered(known, team), heard: known.length, unheard: otherDomains.size, ownPart: domainHosts / Math.max(domainHosts, mateCount + 1),
			},
			matesPerSecond: countOffered(heardMates, team),
			domainHosts,
		};
	}

	function countForeign(database: string, index: 0 | 1): number {
		return countOver([...readHeardMates(), ...[...domains.values()].filter(isLately).map(({report}) => report)], database, index);
	}

	void runPeriodically(clock, REPORT_MS, async () => sendReport(), signal);
	// Before it is registered a host knows of no other; from then on the others have to know that it has started anew.
	const stopListening = services.blackboard.registerListener(({registeredAt}) => registeredAt, () => {
		void sendReport();
	});
	signal.addEventListener('abort', stopListening, {once: true});
	return {
		applyReport,
		readTeam,
		sendFarewell() {
			void sendReport(true);
		},
		findReader: findDomainReader,
		readHeardReports: () => [...mates.values()].filter(isLately),
		findSentAt: run => run.incarnation === identity.incarnation ? sentAt.get(run.sequence) : undefined,
		isVerifiedElsewhere: () => [...mates.values(), ...domains.values()].some(heard => isLately(heard) && heard.report.isVerified),
		countForeignStatements: database => countForeign(database, 0),
		countForeignConnections: database => countForeign(database, 1),
	};
}

function countOffered(reports: readonly UsageReport[], team: string): number {
	return reports.reduce((sum, {teams}) => sum + (teams[team] ?? 0), 0);
}

function countOver(reports: readonly UsageReport[], database: string, index: 0 | 1): number {
	return reports.reduce((sum, {databases}) => sum + (databases[database]?.[index] ?? 0), 0);
}

/** Adds up the reports of a domain's hosts. */
export function collectReports(own: UsageReport, mates: readonly UsageReport[]): UsageReport {
	const all = [own, ...mates];
	const teams = new Set(all.flatMap(report => Object.keys(report.teams)));
	const databases = new Set(all.flatMap(report => Object.keys(report.databases)));
	return {
		...own,
		isOfDomain: true,
		isVerified: all.some(({isVerified}) => isVerified),
		teams: Object.fromEntries([...teams].map(team => [team, Math.round(countOffered(all, team) * 10) / 10])),
		databases: Object.fromEntries([...databases].map(database => [database, [countOver(all, database, 0), countOver(all, database, 1)]])),
	};
}
