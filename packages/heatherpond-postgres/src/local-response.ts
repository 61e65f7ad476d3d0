/** Answers requests without a database, such as those on proxy settings and the end of a transaction whose connection was lost. */
import type {Buffer} from 'node:buffer';
import {
	createBindComplete, createCloseComplete, createCommandComplete, createDataRow, createNoData, createParameterDescription, createParseComplete, createRowDescription,
} from 'heatherpond-wire';
import type {ClientContext} from './client-context.js';
import type {ClientRequest, RequestStep} from './client-request.js';
import {
	applyReset, applyResetAll, applySetting, applyVariableReset, checkTokenGroups, EMPTY_SETTINGS, formatSetting,
} from './client-settings.js';
import {isLocalStatement, type StatementClass, type StatementKind} from './classify.js';
import {createRequestError} from './postgres-error.js';
import {SQL_STATE} from './sql-states.js';

/** Object id of PostgreSQL's type `text`. */
const TEXT_TYPE_ID = 25;

/** Command tags other than RESET. */
const RESET_TAGS = new Map<StatementKind, string>([['discardAll', 'DISCARD ALL'], ['deallocateAll', 'DEALLOCATE ALL']]);

/** Executes statements without a database. */
export type LocalExecutor = {
	/** Returns the RowDescription; `undefined` for a statement without rows. */
	readonly describe: (statement: StatementClass) => Buffer | undefined;
	/** Executes the statement and returns its rows and its CommandComplete. */
	readonly execute: (statement: StatementClass) => readonly Buffer[];
};

/**
 * Whether the proxy answers the request without a database.
 *
 * @throws RequestError if only some of its statements can be answered so
 */
export function isLocalRequest(request: ClientRequest): boolean {
	const localCount = request.statements.filter(statement => isLocalStatement(statement)).length;
	if (localCount > 0 && localCount < request.statements.length) {
		throw createRequestError(SQL_STATE.notSupported, 'statements on heatherpond settings cannot be combined with other statements in one request');
	}

	return localCount > 0;
}

/** Executes SET, SHOW and RESET of proxy settings, RESET of variables, DISCARD ALL and DEALLOCATE ALL. */
export function createSettingExecutor(context: ClientContext): LocalExecutor {
	function executeSetting({settingName: name = '', settingValue: value}: StatementClass): readonly Buffer[] {
		const settings = value === undefined ? applyReset(context.settings, name) : applySetting(context.settings, name, value);
		checkTokenGroups(settings, context.services.blackboard.read().view.groups);
		context.settings = settings;
		return [createCommandComplete(value === undefined ? 'RESET' : 'SET')];
	}

	function execute(statement: StatementClass): readonly Buffer[] {
		if (statement.kind === 'showSetting') {
			return [createDataRow([formatSetting(context.settings, statement.settingName!)]), createCommandComplete('SHOW')];
		}

		if (statement.kind === 'setting') {
			return executeSetting(statement);
		}

		if (statement.kind === 'resetVariable') {
			context.settings = applyVariableReset(context.settings, statement.settingName!);
			return [createCommandComplete('RESET')];
		}

		if (statement.kind !== 'resetAll') {
			context.names.statements.clear();
		}

		if (statement.kind !== 'deallocateAll') {
			context.settings = statement.kind === 'discardAll' ? EMPTY_SETTINGS : applyResetAll(context.settings);
		}

		return [createCommandComplete(RESET_TAGS.get(statement.kind) ?? 'RESET')];
	}

	return {
		execute,
		describe: ({kind, settingName}) => kind === 'showSetting' ? createRowDescription([{name: settingName!, typeId: TEXT_TYPE_ID}]) : undefined,
	};
}

/** Answers a request, except for the final ReadyForQuery. */
export function answerLocally({output, names}: ClientContext, request: ClientRequest, executor: LocalExecutor): void {
	if (request.kind === 'simple') {
		request.statements.forEach(statement => {
			const messages = executor.execute(statement);
			const description = executor.describe(statement);
			[...(description ? [description] : []), ...messages].forEach(output.write);
		});
		return;
	}

	request.steps.forEach(step => {
		answerStep(step, executor, names).forEach(output.write);
	});
}

function answerStep(step: RequestStep, {describe, execute}: LocalExecutor, names: ClientContext['names']): readonly Buffer[] {
	switch (step.kind) {
		case 'parse': {
			names.statements.insert(step.name, step.statement);
			return [createParseComplete()];
		}

		case 'bind': {
			names.portals.set(step.portal, step.statement);
			return [createBindComplete()];
		}

		case 'describeStatement': {
			return [createParameterDescription([]), createDescription(step.statement.statements, describe)];
		}

		case 'describePortal': {
			return [createDescription(step.statement.statements, describe)];
		}

		case 'execute': {
			return step.statement.statements.flatMap(statement => execute(statement));
		}

		case 'closeStatement': {
			names.statements.remove(step.name);
			return [createCloseComplete()];
		}

		case 'closePortal': {
			return [createCloseComplete()];
		}
	}
}

function createDescription(statements: readonly StatementClass[], describe: LocalExecutor['describe']): Buffer {
	const [statement] = statements;
	return (statement && describe(statement)) ?? createNoData();
}
