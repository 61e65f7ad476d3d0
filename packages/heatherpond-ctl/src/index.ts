/** Public API of the command line tool `heatherpondctl`. */
export * from './ctl.js';
export * from './ctl-error.js';
export type * from './ctl-io.js';
