/** Public API of the measurement package. */
export * from './format-result.js';
export * from './measure-error.js';
export * from './measurement.js';
export * from './measurements.js';
