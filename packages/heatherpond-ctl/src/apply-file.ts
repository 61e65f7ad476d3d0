/** Files for `contract apply`, which declare groups, routes and contracts. */
import {isDeepStrictEqual} from 'node:util';
import {parseSettings} from 'heatherpond-config';
import {
	contractSchema, groupSettingsSchema, routeSchema, type Change, type FleetView,
} from 'heatherpond-core';
import * as z from 'zod';

/** Schema of a file for `contract apply`. */
export const applyFileSchema = z.strictObject({
	group: z.array(groupSettingsSchema).default([]),
	route: z.array(routeSchema).default([]),
	contract: z.array(contractSchema).default([]),
}).refine(file => file.group.length + file.route.length + file.contract.length > 0, 'allowed: at least one [[contract]], [[route]] or [[group]]');

export type ApplyFile = z.infer<typeof applyFileSchema>;

/**
 * Parses and validates the text of a file.
 *
 * @param path - name of the file for error messages
 * @throws SettingsError with the file, key path, value and allowed values of every invalid setting
 */
export function parseApplyFile(path: string, text: string): ApplyFile {
	return parseSettings(path, text, applyFileSchema);
}

/** Finds the changes from the current fleet view to the state that a file declares: groups first, then the routes that refer to them, then the contracts that refer to routes. */
export function findApplyChanges(view: FleetView, file: ApplyFile): readonly Change[] {
	const groups = file.group.filter(group => !isDeepStrictEqual(group, view.groups[group.name]?.settings));
	const routes = file.route.filter(route => !isDeepStrictEqual(route, view.routes[route.name]));
	const contracts = file.contract.filter(contract => !isDeepStrictEqual(contract, view.contracts[contract.team]));
	return [
		...groups.map<Change>(group => ({kind: 'groupApplied', group})),
		...routes.map<Change>(route => ({kind: 'routeApplied', route})),
		...contracts.map<Change>(contract => ({kind: 'contractApplied', contract})),
	];
}
