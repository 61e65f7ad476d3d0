/** Interface between the specifications and the explorer. */

/** A state machine to explore: its initial state, the steps enabled in a state, and the invariants of every state. */
export type Model<State, Step> = {
	readonly name: string;
	readonly initial: State;
	/** Collects every step that is enabled. No step is forced, so a step that is never taken models a lost message, a pause or a crash. */
	readonly collectSteps: (state: State) => readonly Step[];
	readonly applyStep: (state: State, step: Step) => State;
	/** Finds the invariant that a state violates, as a sentence. */
	readonly findViolation: (state: State) => string | undefined;
	/** Formats a state canonically: states that differ only in interchangeable names have the same text. */
	readonly formatState: (state: State) => string;
	/** Formats a step as one line of a trace. */
	readonly formatStep: (step: Step) => string;
};

/** A variant of a model with one rule of the protocol disabled; it must violate an invariant. */
export type Mutant = {
	readonly name: string;
	/** The rule that the mutant disables. */
	readonly rule: string;
	/** Where the production code implements the rule. */
	readonly code: string;
	/** Creates the model with the rule disabled. */
	readonly createModel: () => AnyModel;
};

/** A model with states and steps of any type. */

export type AnyModel = Model<any, any>;

/** Size of the scopes to explore. */
export type ScopeSize = 'default' | 'large';

/** A specification: its invariants, the models to explore, and the mutants to kill. */
export type Specification = {
	readonly name: string;
	readonly invariants: readonly string[];
	readonly createModels: (size: ScopeSize) => readonly AnyModel[];
	readonly mutants: readonly Mutant[];
};
