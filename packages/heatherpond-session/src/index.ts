/** Session engine: client sessions, transactions, connection pools and read placement. */
export * from './client-session.js';
export * from './connection-pool.js';
export * from './connection-setup.js';
export type * from './connection-handle.js';
export * from './homes.js';
export * from './log-order.js';
export * from './pooled-handle.js';
export * from './position-tracker.js';
export * from './refusal.js';
export type * from './route.js';
export * from './session-error.js';
export type * from './session-reply.js';
export type * from './session-services.js';
export type * from './statement.js';
export type {SessionClient} from './transaction-run.js';
export * from './upstream-selection.js';
export * from './upstream-connection.js';
