/** Public API of logging, events and metrics. */
export * from './deferred-recorder.js';
export * from './event-filter.js';
export * from './event-recorder.js';
export * from './event-ring.js';
export * from './event-text.js';
export * from './request-explanation.js';
export * from './hybrid-clock.js';
export * from './log-lines.js';
export * from './logger.js';
export * from './metrics.js';
export * from './statement-metrics.js';
