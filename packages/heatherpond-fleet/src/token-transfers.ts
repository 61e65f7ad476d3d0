/**
 * Acquires tokens of a rate limit from other failure domains. The load in mind is a thin rate over many domains: the bucket of
 * one domain is empty while together the others have tokens left.
 */
import type {Clock, Deadline, Instant} from 'heatherpond-core';
import type {HostContact} from './host-message.js';

/** Dependencies of the transfers. */
export type TokenTransferOptions = {
	readonly clock: Clock;
	/** Reads the leaders of the other domains, those with the least demand of the team first. */
	readonly readOtherLeaders: (team: string) => readonly HostContact[];
	/** Requests tokens from the leader of another domain; resolves to how many it gave, none if it does not respond by the deadline. */
	readonly requestTransfer: (host: HostContact, request: {readonly team: string; readonly wanted: number}, deadline: Deadline) => Promise<number>;
};

/** The bucket that receives the tokens. */
export type TransferTarget = {
	readonly countTokens: () => number;
	readonly insertTokens: (tokens: number) => void;
};

/** Transfers of all teams. */
export type TokenTransfers = {
	/** Acquires the missing part of one token, as far as the other domains have it. Calls for one team share the requests in progress. */
	readonly acquireToken: (team: string, target: TransferTarget) => Promise<void>;
};

/** Time within which the leaders of other domains must respond, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 120;
/** Number of domains that are asked for tokens at once; what they give beyond the missing part is lost when the bucket is full. */
const DOMAINS_ASKED_AT_ONCE = 2;
/** Time for which the other domains are not asked again after none of them had tokens left, in milliseconds. */
const TRANSFER_BACKOFF_MS = 300;

/** Creates the transfers; none is in progress. */
export function createTokenTransfers({clock, readOtherLeaders, requestTransfer}: TokenTransferOptions): TokenTransfers {
	const running = new Map<string, Promise<void>>();
	/** By team: until when the other domains are not asked. */
	const backoffUntil = new Map<string, Instant>();

	async function requestFrom(team: string, leaders: readonly HostContact[], target: TransferTarget, deadline: Deadline): Promise<void> {
		const missing = 1 - target.countTokens();
		if (leaders.length === 0 || missing <= 0 || clock.readNow() >= deadline) {
			return;
		}

		const asked = leaders.slice(0, DOMAINS_ASKED_AT_ONCE);
		const given = await Promise.all(asked.map(async leader => requestTransfer(leader, {team, wanted: missing}, deadline)));
		target.insertTokens(given.reduce((sum, tokens) => sum + tokens, 0));
		await requestFrom(team, leaders.slice(DOMAINS_ASKED_AT_ONCE), target, deadline);
	}

	async function runTransfer(team: string, target: TransferTarget): Promise<void> {
		await requestFrom(team, readOtherLeaders(team), target, clock.readNow() + TRANSFER_TIMEOUT_MS);
		if (target.countTokens() < 1) {
			backoffUntil.set(team, clock.readNow() + TRANSFER_BACKOFF_MS);
		}
	}

	return {
		async acquireToken(team, target) {
			const transfer = running.get(team);
			if (transfer) {
				await transfer;
				return;
			}

			if (clock.readNow() < (backoffUntil.get(team) ?? Number.NEGATIVE_INFINITY)) {
				return;
			}

			const started = runTransfer(team, target).finally(() => {
				running.delete(team);
			});
			running.set(team, started);
			await started;
		},
	};
}
