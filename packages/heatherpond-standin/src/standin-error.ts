/** Errors thrown by the stand-ins. */
import ModernError from 'modern-errors';

/** A failed statement; `sqlState` is sent to the client as the SQLSTATE. */
export const StatementError = ModernError.subclass('StatementError', {props: {sqlState: 'XX000'}});

/** A statement exceeded the lock timeout. */
export const LockTimeoutError = StatementError.subclass('LockTimeoutError', {props: {sqlState: '55P03'}});

/** Another transaction holds a row lock that a statement needs; the statement is retried once it has acquired the lock `key`. */
export const LockHeldError = StatementError.subclass('LockHeldError', {props: {key: ''}});

/** A stand-in failed to start. */
export const StandinError = ModernError.subclass('StandinError');
