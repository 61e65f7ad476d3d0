/** The rules of connection setup, taken from the production code. Mutants replace some of them. */
import {
	applySetupCommands, collectSetupCommands, createConnectionCommand, recordSentCommands, type PooledConnection, type UpstreamCommand, type UpstreamResponse,
} from 'heatherpond-session';

/** Every rule that a mutant may disable. */
export type SetupRules = {
	readonly collectSetupCommands: typeof collectSetupCommands;
	readonly recordSentCommands: typeof recordSentCommands;
	/** Updates the recorded state of a connection with the responses to its setup commands. */
	readonly applySetupResponses: (connection: PooledConnection, commands: readonly UpstreamCommand[], responses: readonly UpstreamResponse[]) => void;
	readonly createConnectionCommand: typeof createConnectionCommand;
	/** Whether a connection is closed when the responses to its setup commands are lost. */
	readonly closesAfterLoss: boolean;
};

/** The rules of the production code. The handle of a pooled connection applies the commands that the database has completed, and closes after a loss. */
export const SETUP_RULES: SetupRules = {
	collectSetupCommands,
	recordSentCommands,
	applySetupResponses(connection, commands, responses) {
		applySetupCommands(connection, commands.filter((_, index) => responses[index]!.outcome.kind === 'complete'));
	},
	createConnectionCommand,
	closesAfterLoss: true,
};
