/** Error classes of this package. */
import ModernError from 'modern-errors';

/** Thrown if a model exceeds the state limit of an exploration, or refers to a name that does not exist. */
export const SpecError = ModernError.subclass('SpecError');
