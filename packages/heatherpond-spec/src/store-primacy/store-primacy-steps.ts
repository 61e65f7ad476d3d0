/** Steps of the model of primacy on the platform's store, and the bounds within which they are explored. */

/** One step of a host or the platform, or one tick of the clock. */
export type StorePrimacyStep
	= | {readonly kind: 'tick'}
		| {readonly kind: HostStep; readonly host: string}
		| {readonly kind: 'name'; readonly host: string; readonly database: string}
		| {readonly kind: 'perform'; readonly order: number};

/** What a host does in one step. */
export type HostStep = 'verify' | 'register' | 'write' | 'commit' | 'acknowledge' | 'confirm' | 'begin' | 'takeOver' | 'clear' | 'check' | 'order' | 'record' | 'crash';

/** Bounds and configuration of the exploration. */
export type StorePrimacyScope = {
	readonly hosts: readonly string[];
	readonly databases: readonly string[];
	readonly ticks: number;
	readonly crashes: number;
	/** Hosts that accept writes; the others only promote. */
	readonly writers: readonly string[];
	/** Whether hosts refresh their registrations; not needed in a run shorter than the lifetime of a registration. */
	readonly refreshesRegistrations: boolean;
};

/** Time in milliseconds by which one tick advances the clock. Leases, promotion leases and registrations expire between two ticks. */
export const TICK_MS = 2200;

/** Formats a step for the trace of a violation. */
export function formatStep(step: StorePrimacyStep): string {
	switch (step.kind) {
		case 'tick': {
			return 'the clock advances by one tick';
		}

		case 'name': {
			return `${step.host} records ${step.database} as candidate of the promotion`;
		}

		case 'perform': {
			return `the platform executes promotion request ${step.order}`;
		}

		default: {
			return `${step.host} ${step.kind}`;
		}
	}
}
