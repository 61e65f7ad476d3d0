/** Errors of the PostgreSQL protocol layer. */
import ModernError from 'modern-errors';

/**
 * The other side violated the protocol or exceeded a size limit, and the connection cannot be continued; for `encoding`, a
 * text is not valid UTF-8 and only the request is refused.
 */
export const WireError = ModernError.subclass('WireError', {
	props: {reason: 'malformed' as 'malformed' | 'too_large' | 'encoding'},
});
