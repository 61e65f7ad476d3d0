/** The error for statements that transaction pooling does not support. */
import ModernError from 'modern-errors';

/** The statement depends on a dedicated database session and was not run. */
export const UnsupportedStatementError = ModernError.subclass('UnsupportedStatementError');
