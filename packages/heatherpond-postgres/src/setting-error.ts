/** The error for invalid client settings. */
import ModernError from 'modern-errors';

/** The name or value of a setting is not allowed; the message names it and the allowed ones. */
export const SettingError = ModernError.subclass('SettingError');
