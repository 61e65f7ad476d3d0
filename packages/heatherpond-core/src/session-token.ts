/**
 * Session token: for each group that a session wrote to, the log point that its reads must include. It is opaque to
 * clients. Its text is `1.` followed by the base64url encoding of space-separated `group:term:position` items.
 */
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import {nameSchema} from './contract.js';
import {CoreError} from './core-error.js';
import {logPointSchema, type LogPosition} from './position.js';
import {findEntry} from './reserved-names.js';

/** Schema of a decoded session token. */
export const sessionTokenSchema = z.record(nameSchema, logPointSchema);

/** The log point that reads of the session must include, by group. */
export type SessionToken = Readonly<z.infer<typeof sessionTokenSchema>>;

/** The text of a token is malformed or was not issued by this system. */
export const TokenError = CoreError.subclass('TokenError', {props: {code: 'invalid_token'}});

/** Token of a session that has written nothing. */
export const EMPTY_TOKEN: SessionToken = {};

const TOKEN_PREFIX = '1.';
const MAX_TOKEN_LENGTH = 4096;
/** Pattern of one `group:term:position` item. */
const ITEM_PATTERN = /^(?<group>[a-z\d][\w.\-]{0,62}):(?<term>\d{1,15}):(?<position>\d{1,20})$/iv;

/** Formats a token for a client. */
export function formatSessionToken(token: SessionToken): string {
	const items = Object.entries(token)
		.toSorted(([left], [right]) => left < right ? -1 : 1)
		.map(([group, point]) => `${group}:${point.term}:${point.position}`);
	return TOKEN_PREFIX + Buffer.from(items.join(' ')).toString('base64url');
}

/**
 * Parses the text of a token; an empty text is the empty token.
 *
 * @throws TokenError when the text is longer than 4,096 characters or was not produced by `formatSessionToken`
 */
export function parseSessionToken(text: string): SessionToken {
	if (text === '') {
		return EMPTY_TOKEN;
	}

	if (text.length > MAX_TOKEN_LENGTH || !text.startsWith(TOKEN_PREFIX)) {
		throw new TokenError('session token rejected: it was not issued by this system or is longer than 4096 characters');
	}

	const body = Buffer.from(text.slice(TOKEN_PREFIX.length), 'base64url').toString('utf8');
	const items = body === '' ? [] : body.split(' ');
	const token = Object.fromEntries(items.map(item => parseItem(item)));
	if (formatSessionToken(token) !== text) {
		throw new TokenError('session token rejected: re-encoding it gives a different text');
	}

	return token;
}

function parseItem(item: string): [string, LogPosition] {
	const groups = ITEM_PATTERN.exec(item)?.groups;
	if (!groups) {
		throw new TokenError('session token rejected: expected items of the form group:term:position');
	}

	return [groups.group!, {term: Number(groups.term), position: BigInt(groups.position!)}];
}

/** Applies a point that the session wrote or read; a lower point leaves the token unchanged. */
export function applyPointToToken(token: SessionToken, group: string, point: LogPosition): SessionToken {
	const known = findEntry(token, group);
	const isNewer = !known || point.term > known.term || (point.term === known.term && point.position > known.position);
	return isNewer ? {...token, [group]: point} : token;
}
