/** Formats the steps of the primacy model as lines of a trace. */
import type {PrimacyStep} from './primacy-state.js';
import type {StepKind, StepOf} from './step-handlers.js';

/** Width of the column with the name of the process that takes the step. */
const ACTOR_WIDTH = 8;

type StepDescriptions = {readonly [Kind in StepKind]: (step: StepOf<Kind>) => readonly [actor: string, text: string]};

const STEP_DESCRIPTIONS: StepDescriptions = {
	tick: () => ['time', 'a lease passes'],
	ask: ({host}) => [host, 'requests the log from the platform'],
	askPeer: ({host, peer}) => [host, `requests the stamp of ${peer}`],
	receive: ({host}) => [host, 'updates its view and stamp from the response'],
	remove: ({host}) => ['operator', `removes ${host} from the log`],
	decide: ({host}) => [host, 'decides to promote and sends the append of the promotion entry'],
	append: ({host}) => [host, 'has its append accepted or rejected by the platform'],
	learn: ({host}) => [host, 'receives the response that its promotion entry was appended'],
	raise: ({host, member}) => [host, `is granted its term by ${member}`],
	confirm: ({host, peer}) => [host, `receives the confirmation of its promotion from ${peer}`],
	promote: ({host}) => [host, 'promotes the candidate'],
	record: ({host}) => [host, 'appends the end of its promotion to the log'],
	replicate: ({from, to}) => [from, `sends its history to ${to}`],
	dispatch: ({host, member, write}) => [host, `write ${write}: sent to ${member}, which executes it`],
	retry: ({host, member, write}) => [host, `write ${write}: sent again to ${member}, which executes it`],
	answer: ({host, write}) => [host, `write ${write}: received the response to its commit`],
	proveLease: ({host, write}) => [host, `write ${write}: proven by a lease`],
	proveReplica: ({host, write}) => [host, `write ${write}: proven by replicas`],
	acknowledge: ({host, write}) => [host, `write ${write}: acknowledged to the client`],
	reportLost: ({host, write}) => [host, `write ${write}: reported to the client as lost`],
};

/** Formats a step as one line of a trace. */
export function formatPrimacyStep(step: PrimacyStep): string {
	const format = STEP_DESCRIPTIONS[step.kind] as (step: PrimacyStep) => readonly [actor: string, text: string];
	const [actor, text] = format(step);
	return `${actor.padEnd(ACTOR_WIDTH)} ${text}`;
}
