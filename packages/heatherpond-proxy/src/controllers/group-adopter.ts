/**
 * Appends the first primary of groups that operators have added. Every host may try: the operation id is derived from
 * the group, term and primary, so the log accepts the entry only once.
 */
import {
	decideAdoption, PortError, runPeriodically, type Adoption, type Clock, type HostBlackboard, type HostIdentity, type PlatformPort,
} from 'heatherpond-core';

/** Dependencies of the group adopter. */
export type GroupAdopterOptions = {
	readonly identity: HostIdentity;
	readonly blackboard: HostBlackboard;
	readonly platform: PlatformPort;
	readonly clock: Clock;
	readonly signal: AbortSignal;
};

const CHECK_INTERVAL_MS = 500;
const MAX_STATUS_AGE_MS = 2000;
const APPEND_TIMEOUT_MS = 5000;

/** Starts checking periodically for groups without a primary. Ends when the signal aborts. */
export function startGroupAdopter(options: GroupAdopterOptions): void {
	const {blackboard, clock, signal} = options;
	void runPeriodically(clock, CHECK_INTERVAL_MS, async () => {
		const {view, databases} = blackboard.read();
		const adoptions = Object.values(view.groups)
			.map(group => decideAdoption(group, databases, clock.readNow(), MAX_STATUS_AGE_MS))
			.filter(adoption => adoption !== undefined);
		for (const adoption of adoptions) {
			await appendAdoption(options, adoption);
		}
	}, signal);
}

/** Tries once to append the entry. After a conflict or failure, the next check decides again on the newer view. */
async function appendAdoption({identity, blackboard, platform, clock, signal}: GroupAdopterOptions, change: Adoption): Promise<void> {
	try {
		const draft = {operationId: `adopt/${change.group}/${change.term}/${change.primary}`, author: identity.host, change};
		await platform.appendEntry(draft, blackboard.read().view.version, {deadline: clock.readNow() + APPEND_TIMEOUT_MS, signal});
	} catch (error) {
		if (!(error instanceof PortError)) {
			throw error;
		}
	}
}
