/** Error for session tokens that do not match the history of their group. */
import ModernError from 'modern-errors';

/**
 * A write of the session was lost in a failover, or the session token is from a term that this host does not know yet.
 */
export const WriteLostError = ModernError.subclass('WriteLostError', {
	props: {reason: 'write_lost' as 'write_lost' | 'future_token'},
});
