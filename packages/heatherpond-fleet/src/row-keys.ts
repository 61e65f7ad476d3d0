/**
 * Keys that are made of names which others chose. A row key is at most 200 bytes, and two names never share a key: what does not
 * fit, or could be taken for something else, is replaced by its hash.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

/** Maximum length of a row key, in bytes. */
export const MAX_ROW_KEY_BYTES = 200;
/** Maximum length of each name in a key of two, in bytes, which leaves room for a prefix. */
const MAX_PAIRED_NAME_BYTES = 90;
/** Begins a hash. A name that begins like one is hashed as well. */
const HASH_MARK = '=';

/** Formats the key of the row that belongs to a name, such as that of a group. */
export function formatRowKey(prefix: string, name: string): string {
	return `${prefix}${formatName(name, MAX_ROW_KEY_BYTES - Buffer.byteLength(prefix))}`;
}

/** Formats the key of what belongs to a group and a host together. */
export function formatGroupHostKey(group: string, host: string): string {
	return [group, host].map(name => formatName(name.replaceAll(/[%\/]/gv, encodeURIComponent), MAX_PAIRED_NAME_BYTES)).join('/');
}

function formatName(name: string, maxBytes: number): string {
	return name.startsWith(HASH_MARK) || Buffer.byteLength(name) > maxBytes ? `${HASH_MARK}${createHash('sha256').update(name).digest('base64url')}` : name;
}
