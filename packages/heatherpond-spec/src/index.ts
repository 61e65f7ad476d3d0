/** Public API of the specification package. */
export * from './explorer.js';
export type * from './model.js';
export * from './run-specification.js';
export * from './spec-error.js';
export * from './specifications.js';
