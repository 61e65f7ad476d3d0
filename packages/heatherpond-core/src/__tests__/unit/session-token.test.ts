import {Buffer} from 'node:buffer';
import {describe, expect, test} from '@jest/globals';
import {
	applyPointToToken, EMPTY_TOKEN, formatSessionToken, parseSessionToken, TokenError,
} from '../../session-token.js';

describe('session token', () => {
	test('round-trips through its text', () => {
		const token = {sponsorship: {term: 3, position: 12_345_678_901_234n}, pasture: {term: 1, position: 0n}};
		expect(parseSessionToken(formatSessionToken(token))).toEqual(token);
		expect(parseSessionToken('')).toEqual(EMPTY_TOKEN);
	});

	test('ignores a point that is lower than the known one', () => {
		const token = applyPointToToken(EMPTY_TOKEN, 'a', {term: 2, position: 50n});
		expect(applyPointToToken(token, 'a', {term: 2, position: 40n})).toBe(token);
		expect(applyPointToToken(token, 'a', {term: 1, position: 90n})).toBe(token);
		expect(applyPointToToken(token, 'a', {term: 3, position: 10n})).toEqual({a: {term: 3, position: 10n}});
	});

	test.each([
		['text of another format', 'hello'],
		['an unknown version', '2.YTox'],
		['truncated text', formatSessionToken({a: {term: 1, position: 5n}}).slice(0, -1)],
		['text that is not base64url', '1.***'],
		['a position that is not a number', `1.${Buffer.from('a:1:x').toString('base64url')}`],
		['text over the length limit', `1.${'A'.repeat(5000)}`],
	])('parsing rejects %s', (_name, text) => {
		expect(() => parseSessionToken(text)).toThrow(TokenError);
	});
});
