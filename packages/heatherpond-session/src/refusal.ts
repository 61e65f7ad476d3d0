/** Error replies that the proxy itself sends to a client in place of a database response. */

/** Why the proxy refused a statement. */
export type RefusalCode
	/** The statement was not run, or its effects were rolled back; the client may retry. */
	= | 'busy'
		| 'aborted'
	/** A write may or may not have been committed. */
		| 'in_doubt'
		| 'unknown_database'
		| 'unknown_key'
		| 'unknown_statement'
		| 'malformed';

/** Refusal of a statement. */
export type Refusal = {
	readonly code: RefusalCode;
	/** Explanation for the client and the log. */
	readonly reason: string;
	/** Milliseconds after which the client should retry. */
	readonly retryAfterMs?: number;
};

export function createRefusal(code: RefusalCode, reason: string, retryAfterMs?: number): Refusal {
	return {code, reason, retryAfterMs};
}
