/** Errors of reading settings files. */
import ModernError from 'modern-errors';

/** A settings file is unreadable or invalid; the message names the file, key path, value and allowed values. */
export const SettingsError = ModernError.subclass('SettingsError');
