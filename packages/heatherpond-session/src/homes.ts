/** Home regions: where the statements of a route or team may be run, and where their text may be sent. */

/** Names of regions; without a set, every region is permitted. */
export type Homes = ReadonlySet<string>;

/** Combines the homes of a route and a team: both bind where both are stated. */
export function findCommonHomes(route: Homes | undefined, team: Homes | undefined): Homes | undefined {
	return route && team ? new Set([...route].filter(region => team.has(region))) : route ?? team;
}

/** Whether a database in a region may run statements that are bound to their homes. */
export function isHome(homes: Homes | undefined, region: string): boolean {
	return homes === undefined || homes.has(region);
}
