/** Public API of the settings files: schemas and parsing. */
export * from './ctl-settings.js';
export * from './proxy-settings.js';
export * from './settings-error.js';
export * from './settings-file.js';
export * from './standin-settings.js';
