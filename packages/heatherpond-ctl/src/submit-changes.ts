/** Submits changes in sequence and reports the outcome of each. */
import type {SubmitChangeReply} from 'heatherpond-admin';
import {
	changeSchema, decodeLogEntry, formatChangeSubject, type Change, type LogEntry,
} from 'heatherpond-core';
import * as z from 'zod';
import {CtlError, EXIT, formatError} from './ctl-error.js';
import type {CommandResult, CtlIo} from './ctl-io.js';
import type {FleetClient} from './fleet-client.js';
import {formatLaggingHost, waitUntilInForce} from './wait-in-force.js';

/** Options of a submission. */
export type SubmitOptions = {
	readonly author: string;
	/** Version on which the operator based the changes; later changes of the same subject are conflicts. */
	readonly basedOn: number;
	/** Idempotency key: repeating a command with the same id does not apply it twice. */
	readonly operationId: string;
	/** Whether the command may submit several changes; each then has its own operation id, with its subject appended. */
	readonly isBatch?: boolean;
	/** Whether to wait until the changes are in force on every host. */
	readonly wait: boolean;
	/** Maximum time to wait. */
	readonly waitSeconds: number;
};

/** What a command that calls the fleet works with. */
export type CtlSession = {
	readonly io: CtlIo;
	readonly fleet: FleetClient;
	/** Author from the settings file. */
	readonly author?: string;
};

type AcceptedChange = {readonly subject: string; readonly kind: Change['kind']; readonly version: number};

/** Submits changes in order, and stops at the first that is not accepted. */
export async function submitChanges(session: CtlSession, changes: readonly Change[], options: SubmitOptions): Promise<CommandResult> {
	const accepted: AcceptedChange[] = [];
	for (const change of changes) {
		const reply = await submitChange(session, {change, accepted}, options);
		if (!reply.accepted) {
			return formatConflict(change, reply, accepted);
		}

		accepted.push({subject: formatChangeSubject(change), kind: change.kind, version: reply.version});
	}

	return formatAccepted(session, accepted, options);
}

/** A change to submit, and the changes that were accepted before it. */
type SubmitStep = {
	readonly change: Change;
	readonly accepted: readonly AcceptedChange[];
};

async function submitChange({fleet}: CtlSession, {change, accepted}: SubmitStep, options: SubmitOptions): Promise<SubmitChangeReply> {
	const {operationId, author, basedOn} = options;
	const request = {
		operationId: options.isBatch ? `${operationId}/${formatChangeSubject(change)}` : operationId, author, basedOn, change: JSON.stringify(z.encode(changeSchema, change)),
	};
	try {
		return await fleet.call(async (connection, callOptions) => connection.submitChange(request, callOptions));
	} catch (error) {
		throw error instanceof CtlError ? createSubmitError(error, operationId, accepted) : error;
	}
}

/** Creates an error that reports the changes accepted before the failure, and how to proceed if the outcome is unknown. */
function createSubmitError(error: InstanceType<typeof CtlError>, operationId: string, accepted: readonly AcceptedChange[]): Error {
	const instructions = error.exitCode === EXIT.unavailable ? [`the outcome is unknown; repeat the command with --operation-id ${operationId}, which does not apply it twice`] : [];
	const reason = [formatError(error), ...accepted.map(formatAcceptedLine), ...instructions].join('\n');
	return new CtlError('the change was not accepted', {cause: error, props: {exitCode: error.exitCode, reason}});
}

function formatAcceptedLine({kind, subject, version}: AcceptedChange): string {
	return `accepted at version ${version}: ${kind} ${subject}`;
}

function formatConflict(change: Change, reply: SubmitChangeReply, accepted: readonly AcceptedChange[]): CommandResult {
	const entries = reply.conflicts.map(text => decodeLogEntry(text));
	const subject = formatChangeSubject(change);
	return {
		lines: [
			...accepted.map(formatAcceptedLine),
			`not accepted: ${subject} was changed after the version that this change is based on`,
			...entries.map(formatEntry),
			`review these changes and repeat the command with --based-on ${reply.version}`,
		],
		json: {
			accepted, conflict: {subject, version: reply.version, entries: entries.map(convertEntry)},
		},
		exitCode: EXIT.conflict,
	};
}

async function formatAccepted({fleet, io}: CtlSession, accepted: readonly AcceptedChange[], options: SubmitOptions): Promise<CommandResult> {
	const lines = accepted.map(formatAcceptedLine);
	const version = accepted.at(-1)?.version;
	if (version === undefined) {
		return {lines: ['nothing to change'], json: {accepted}};
	}

	if (!options.wait) {
		return {lines, json: {accepted}};
	}

	const startedAt = io.clock.readNow();
	const behind = await waitUntilInForce(fleet, {
		version, deadline: startedAt + (options.waitSeconds * 1000), clock: io.clock, signal: io.signal,
	});
	const waitedMs = Math.round(io.clock.readNow() - startedAt);
	return behind.length === 0
		? {lines: [...lines, `in force on every host after ${waitedMs} ms`], json: {accepted, inForce: true, waitedMs}}
		: {
			lines: [...lines, `not in force on ${behind.length} hosts after ${options.waitSeconds} s`, ...behind.map(formatLaggingHost)],
			json: {
				accepted, inForce: false, waitedMs, behind,
			},
			exitCode: EXIT.notInForce,
		};
}

/** Formats a log entry as a human-readable line. */
export function formatEntry(entry: LogEntry): string {
	return `version ${entry.version}  ${entry.writtenAt}  ${entry.author}  ${entry.change.kind} ${formatChangeSubject(entry.change)}`;
}

/** Converts a log entry to a value that can be encoded as JSON. */
export function convertEntry(entry: LogEntry): unknown {
	return {...entry, change: z.encode(changeSchema, entry.change)};
}
