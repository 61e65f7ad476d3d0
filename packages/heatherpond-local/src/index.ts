/** Public API for running a complete deployment in one process. */
export * from './demo.js';
export * from './deployment-plan.js';
export * from './local-deployment.js';
export * from './local-host.js';
export * from './peer-faults.js';
export * from './write-ledger.js';
