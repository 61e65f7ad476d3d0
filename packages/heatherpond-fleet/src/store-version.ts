/**
 * Versions of rows over all histories of the store. When the store comes back from an older copy, it starts a new era in
 * which it gives out the same row versions again. A store version holds the era and the row version in one number, so that
 * every version of a later era orders after all versions of the earlier ones.
 */
import {createStoreError} from './store-port.js';

/** Number of row versions of one era; with it, more than 8000 eras fit into a safe integer. */
const ROW_VERSIONS_PER_ERA = 2 ** 40;

/**
 * Creates the store version of a row version.
 *
 * @throws StoreError when the era or the row version is out of range
 */
export function createStoreVersion(era: number, rowVersion: number): number {
	const version = (era * ROW_VERSIONS_PER_ERA) + rowVersion;
	if (era < 0 || rowVersion < 0 || rowVersion >= ROW_VERSIONS_PER_ERA || !Number.isSafeInteger(version)) {
		throw createStoreError(`row version ${rowVersion} of era ${era} is out of range`, 'refused');
	}

	return version;
}

/** Reads the era of a store version. */
export function readEra(version: number): number {
	return Math.floor(version / ROW_VERSIONS_PER_ERA);
}

/** Reads the row version, which is only unique within its era. */
export function readRowVersion(version: number): number {
	return version % ROW_VERSIONS_PER_ERA;
}
