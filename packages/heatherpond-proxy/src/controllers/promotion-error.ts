/** Errors of promotions. */
import ModernError from 'modern-errors';

/** Reason for which a promotion was abandoned. */
export type PromotionFailure
	/** The log has changed the group since the promotion was decided. */
	= | 'superseded'
	/** No majority of the members granted the term. */
		| 'no_majority'
	/** The platform did not respond. */
		| 'no_platform'
	/** The group or the database does not exist, or the database cannot become primary at present. */
		| 'unsuitable'
	/** The host is shutting down. */
		| 'aborted';

/** A promotion was abandoned. A later promoter starts with a higher term. */
export const PromotionError = ModernError.subclass('PromotionError', {props: {reason: 'superseded' as PromotionFailure}});
