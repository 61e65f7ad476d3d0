/** Error type of this package. */
import ModernError from 'modern-errors';

/** A measurement could not be completed. */
export const MeasureError = ModernError.subclass('MeasureError');
