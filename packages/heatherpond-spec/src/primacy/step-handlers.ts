/** Types of the step handlers of the primacy model; each kind of step has one handler. */
import type {PrimacyRules} from './primacy-rules.js';
import type {PrimacyScope, PrimacyState, PrimacyStep} from './primacy-state.js';

/** Input of every step besides the state. */
export type StepContext = {readonly scope: PrimacyScope; readonly rules: PrimacyRules};

/** All kinds of steps of the primacy model. */
export type StepKind = PrimacyStep['kind'];

/** A step of the given kind. */
export type StepOf<Kind extends StepKind> = SelectStep<PrimacyStep, Kind>;

type SelectStep<Step, Kind> = Step extends {readonly kind: infer Kinds} ? (Kind extends Kinds ? Step & {readonly kind: Kind} : never) : never;

/** Handlers for the given kinds of steps. */
export type StepHandlers<Kinds extends StepKind> = {
	readonly [Kind in Kinds]: (context: StepContext, state: PrimacyState, step: StepOf<Kind>) => PrimacyState;
};
