/** Formats states and steps of the model of connection setup. */
import type {PooledConnection} from 'heatherpond-session';
import type {ConnectionState, SetupState, SetupStep} from './setup-state.js';

/** Texts of clients and connections: a step leaves all but one or two as they are. */
const texts = new WeakMap<object, string>();

function readText<Part extends object>(part: Part, format: (part: Part) => string): string {
	const text = texts.get(part) ?? format(part);
	texts.set(part, text);
	return text;
}

/** Length of a statement in the text of a state, in characters. */
const MAX_STATEMENT_LENGTH = 20;

/** Formats a state canonically: clients and connections differ in nothing but their names, and so do numbered statements. */
export function formatSetupState({clients, connections, faults, violation}: SetupState): string {
	const clientTexts = Object.fromEntries(Object.entries(clients).map(([name, client]) => [name, readText(client, formatValue)]));
	return JSON.stringify([
		Object.values(clientTexts).toSorted(),
		connections.map(connection => `${readText(connection, formatConnection)} ${connection.holder === undefined ? '' : clientTexts[connection.holder]}`).toSorted(),
		faults,
		violation,
	]);
}

/**
 * Formats a connection. Where all names are numbers that were counted, no later name equals one of them: then names do not
 * matter unless two statements share one, nor do statements of the database that the proxy does not use.
 */
function formatConnection({pooled, database}: ConnectionState): string {
	const {upstream: _, preparedCount, statements, ...recorded} = pooled;
	if (!Object.keys(database.statements).every(name => isCounted(pooled, name))) {
		return formatValue([recorded, preparedCount, statements, database]);
	}

	const names = [...statements.values()];
	const prepared = new Map([...statements].map(([key, name]) => [formatBeginning(key), [formatBeginning(database.statements[name]), names.filter(other => other === name).length]]));
	return formatValue([recorded, database.variables, prepared]);
}

function isCounted({preparedCount}: PooledConnection, name: string): boolean {
	return /^p\d+$/v.test(name) && Number(name.slice(1)) <= preparedCount;
}

/** Formats the beginning of a statement, by which those of a scope differ. */
function formatBeginning(text: string | undefined): string | undefined {
	return text?.slice(0, MAX_STATEMENT_LENGTH);
}

/** Formats a value independently of the order of entries. */
function formatValue(value: unknown): string {
	if (value instanceof Map || value instanceof Set) {
		return formatEntries([...value]);
	}

	if (Array.isArray(value)) {
		return `[${value.map(part => formatValue(part)).join(',')}]`;
	}

	return value !== null && typeof value === 'object' ? formatEntries(Object.entries(value)) : JSON.stringify(value) ?? '';
}

function formatEntries(entries: readonly unknown[]): string {
	return `{${entries.map(entry => formatValue(entry)).toSorted().join(',')}}`;
}

/** Formats a step as one line of a trace. */
export function formatSetupStep(step: SetupStep): string {
	switch (step.kind) {
		case 'set': {
			return `${step.client} sets ${step.name} to ${JSON.stringify(step.value)}${formatOutcome(step.outcome)}`;
		}

		case 'prepare': {
			return `${step.client} prepares ${step.name} as statement ${step.statement}`;
		}

		case 'deallocate': {
			return `${step.client} deallocates ${step.name}`;
		}

		case 'run': {
			const statement = step.name === undefined ? 'a plain statement' : `${step.name}`;
			const manner = `${step.needsLivenessCheck ? ' after a liveness check' : ''}${step.opensTransaction ? ' in a new transaction' : ''}`;
			return `${step.client} runs ${statement} on connection ${step.connection}${manner}${formatOutcome(step.outcome)}`;
		}

		case 'endTransaction': {
			return `${step.client} ends its transaction`;
		}

		case 'reconnect': {
			return `${step.client} reconnects`;
		}
	}
}

function formatOutcome(outcome: SetupStep extends infer Step ? Step extends {readonly outcome: infer Outcome} ? Outcome : never : never): string {
	return outcome.length === 0 ? '' : `; setup: ${outcome === 'lost' ? 'responses lost' : outcome.join(', ')}`;
}
