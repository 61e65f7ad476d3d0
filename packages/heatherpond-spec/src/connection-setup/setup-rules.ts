/** The rules of connection setup, taken from the production code. Mutants replace some of them. */
import {
	applySetupResponses, collectSetupCommands, createConnectionCommand, recordSentCommands,
} from 'heatherpond-session';

/** Every rule that a mutant may disable. */
export type SetupRules = {
	readonly collectSetupCommands: typeof collectSetupCommands;
	readonly recordSentCommands: typeof recordSentCommands;
	readonly applySetupResponses: typeof applySetupResponses;
	readonly createConnectionCommand: typeof createConnectionCommand;
	/** Whether a connection is closed when the responses to its setup commands are lost. */
	readonly closesAfterLoss: boolean;
};

/** The rules of the production code, unchanged; the handle of a pooled connection closes it after a loss. */
export const SETUP_RULES: SetupRules = {
	collectSetupCommands, recordSentCommands, applySetupResponses, createConnectionCommand, closesAfterLoss: true,
};
