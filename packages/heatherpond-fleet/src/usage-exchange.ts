/**
 * Exchanges accounts: each host tells those of its failure domain, and one host of each domain tells all others the sums.
 */
import {runPeriodically, type Instant} from 'heatherpond-core';
import {findReader, type DomainMate, type FindReader} from './domain-reader.js';
import type {HostRecord} from './fleet-records.js';
import type {FleetServices} from './fleet-services.js';
import type {HostMessages} from './host-messages.js';
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

/** What this host tells of itself. */
export type OwnUsage = Pick<UsageReport, 'isVerified' | 'teams' | 'databases'>;

/** What is known of the other hosts. */
export type UsageExchange = {
	/** Takes the account of another host. */
	readonly applyReport: (report: UsageReport) => void;
	readonly readTeam: (team: string) => TeamUsage;
	/** Finds the host that reads the store and decides on limits for the failure domain; nothing when this one does. */
	readonly findReader: FindReader;
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

type Heard = {readonly report: UsageReport; readonly heardAt: Instant};

/** Starts the exchange; it ends with the signal. */
export function startUsageExchange({services, messages, readOwn, signal}: UsageExchangeOptions): UsageExchange {
	const {clock, identity} = services;
	/** Last report by host of the own domain, and by other domain. */
	const mates = new Map<string, Heard>();
	const startedAt = clock.readNow();
	const domains = new Map<string, Heard>();
	let sequence = 0;
	let lastAnsweredAt: Instant = Number.NEGATIVE_INFINITY;

	function isLately({heardAt}: Heard): boolean {
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

	async function sendReport(): Promise<void> {
		sequence++;
		const report: UsageReport = {
			host: identity.host, incarnation: identity.incarnation, sequence, domain: identity.domain, isOfDomain: false, runningMs: Math.round(clock.readNow() - startedAt), ...readOwn(),
		};
		messages.sendUsage(report, ({domain}) => domain === identity.domain);
		if (!findDomainReader()) {
			messages.sendUsage(collectReports(report, readHeardMates()), ({domain}) => domain !== identity.domain);
		}

		const now = clock.readNow();
		[mates, domains].forEach(heard => {
			[...heard].filter(([, {heardAt}]) => heardAt + KEEP_MS < now).forEach(([name]) => {
				heard.delete(name);
			});
		});
	}

	function applyReport(report: UsageReport): void {
		const isMate = report.domain === identity.domain;
		const [heard, name] = isMate ? [mates, report.host] as const : [domains, report.domain] as const;
		const last = heard.get(name)?.report;
		const isSameRun = last?.incarnation === report.incarnation;
		if (report.host === identity.host || report.isOfDomain === isMate || (isSameRun && last.sequence >= report.sequence)) {
			return;
		}

		heard.set(name, {report, heardAt: clock.readNow()});
		if (!isSameRun) {
			answerNewcomer();
		}
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

	void runPeriodically(clock, REPORT_MS, sendReport, signal);
	// Before it is registered a host knows of no other; from then on the others have to know that it has started anew.
	const stopListening = services.blackboard.registerListener(({registeredAt}) => registeredAt, () => {
		void sendReport();
	});
	signal.addEventListener('abort', stopListening, {once: true});
	return {
		applyReport,
		readTeam,
		findReader: findDomainReader,
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
