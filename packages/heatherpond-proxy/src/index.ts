/** Public API of the entry host. */
export * from './proxy-host.js';
export type {SharingMode} from './wiring/host-context.js';
