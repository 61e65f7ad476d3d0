/** The rules of sessions, taken from the production code. Mutants replace some of them. */
import {
	decideRoute, isIncluded, type LogPosition, type RouteDecision, type RoutingInput, type TermStart,
} from 'heatherpond-core';

/** Every rule that a mutant may disable. */
export type SessionRules = {
	readonly decideRoute: (input: RoutingInput) => RouteDecision;
	/** Whether the response to a read executed at log position `point` may be sent to the client. */
	readonly isResponseReleased: (point: LogPosition, required: LogPosition, termStarts: readonly TermStart[]) => boolean;
};

/** The rules of the production code, unchanged. */
export const SESSION_RULES: SessionRules = {decideRoute, isResponseReleased: isIncluded};
