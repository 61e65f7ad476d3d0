/** The contracts in force, in the form that hosts use. */
import {findCommonHomes, type Homes, type SessionRoute} from 'heatherpond-session';

/** Rate limit of a team. */
export type TeamContract = {
	readonly team: string;
	/** Operations per second, over all hosts together. */
	readonly ratePerSecond: number;
	/** Operations that may arrive at once in excess of the rate. */
	readonly burst: number;
	/** Regions in which the team's statements may be run; absent when every region is permitted. */
	readonly homes?: Homes;
};

/** Limits of a group of databases. */
export type GroupContract = {
	readonly group: string;
	/** Maximum number of connections to each database of the group, over all hosts together. */
	readonly maxConnections: number;
	/** Number of replicas that must have received a commit before the primary acknowledges it; absent or 0 where none must. */
	readonly syncReplicas?: number;
	/** Statements a second that a cold database of the group may get, over all hosts together; absent or 0 without a limit. */
	readonly coldPerSecond?: number;
	/** Milliseconds for which a database is cold after its failure domain is in use again. */
	readonly warmUpMs?: number;
	/** Regions that are homes of every route of the group that has homes, and in which its primary therefore belongs. */
	readonly homes?: Homes;
};

/** All contracts of one configuration version. */
export type Contracts = {
	readonly version: number;
	/** Routes by logical database name. */
	readonly routes: ReadonlyMap<string, SessionRoute>;
	readonly groups: ReadonlyMap<string, GroupContract>;
	readonly teams: ReadonlyMap<string, TeamContract>;
	/** Team by API key. */
	readonly teamsByKey: ReadonlyMap<string, string>;
	/** Names of groups and teams that databases cannot be told, so that nothing can be run for them; absent when there are none. */
	readonly unsendableNames?: ReadonlySet<string>;
	/** Milliseconds for which an open transaction may wait for the next statement of its client. */
	readonly idleTransactionMs: number;
};

/** Finds the regions that all routes of a group with homes share; nothing when no route has homes. */
export function findGroupHomes(group: string, routes: readonly SessionRoute[]): Homes | undefined {
	return routes
		.filter(route => route.group === group)
		.reduce<Homes | undefined>((homes, route) => findCommonHomes(homes, route.homes), undefined);
}
