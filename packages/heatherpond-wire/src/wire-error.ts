/** Errors of the PostgreSQL protocol layer. */
import ModernError from 'modern-errors';

/** The other side violated the protocol or exceeded a size limit; the connection cannot be continued. */
export const WireError = ModernError.subclass('WireError', {
	props: {reason: 'malformed' as 'malformed' | 'too_large'},
});
