/** Errors of the calls from operators to hosts. */
import ModernError from 'modern-errors';

/** Reason why an operator's call failed. */
export type AdminErrorCode
	/** The host did not respond or does not know the outcome; the call may be repeated with the same operation id. */
	= | 'unavailable'
	/** The host rejected the call; nothing was changed. */
		| 'refused'
	/** The host cannot parse the request. */
		| 'invalid'
	/** The operator token is missing or wrong. */
		| 'unauthenticated'
	/** The host does not implement the call. */
		| 'unsupported';

/** A call to a host failed; `code` classifies the failure, and `reason` is the message for the operator. */
export const AdminError = ModernError.subclass('AdminError', {props: {code: 'unavailable' as AdminErrorCode, reason: ''}});
