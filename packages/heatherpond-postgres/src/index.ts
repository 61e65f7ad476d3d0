/** Public interface of the PostgreSQL adapters. */
export * from './client-server.js';
export type * from './client-services.js';
export * from './classify.js';
export * from './retry-budget.js';
export * from './sql-states.js';
export type * from './upstream-authentication.js';
export * from './upstream-connection.js';
export * from './upstream-control.js';
export * from './upstream-pools.js';
