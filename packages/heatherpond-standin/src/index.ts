/** Public API of the stand-ins. */
export * from './database.js';
export {POSITION_PARAMETER} from './connection-state.js';
export * from './database-connection.js';
export * from './database-faults.js';
export * from './database-group.js';
export * from './database-server.js';
export * from './platform-faults.js';
export * from './platform-server.js';
export * from './row-locks.js';
export * from './sql-parser.js';
export * from './tcp-relay.js';
