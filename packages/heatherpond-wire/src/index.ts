/** Encoding and decoding of PostgreSQL protocol messages. */
export * from './backend-messages.js';
export * from './error-message.js';
export * from './field-reader.js';
export * from './frame-reader.js';
export * from './frontend-messages.js';
export * from './message-types.js';
export * from './wire-error.js';
