/** Errors that every port reports, whatever its adapter. */
import ModernError from 'modern-errors';

/** Why a call on a port failed. */
export type PortErrorCode
	/** No response, or none that tells whether the call took effect. */
	= | 'unavailable'
	/** The response could not be parsed. */
		| 'invalid'
	/** The call was refused and took no effect. */
		| 'refused';

/** A call on a port failed; `code` tells what is known about its effect. */
export const PortError = ModernError.subclass('PortError', {props: {code: 'unavailable' as PortErrorCode}});
