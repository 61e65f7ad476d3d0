/** Error class of the local deployment. */
import ModernError from 'modern-errors';

/** Thrown when a local deployment does not reach the expected state in time. */
export const LocalError = ModernError.subclass('LocalError');
