/** Changes by operators. Each change is validated against the latest view, then appended directly after that version. */
import {
	applyLogEntry, changeSchema, checkChange, encodeLogEntry, formatChangeSubject,
	type CallOptions, type Change, type EntryDraft, type FleetView, type LogEntry,
} from 'heatherpond-core';
import type {ReadHistoryRequest, SubmitChangeReply, SubmitChangeRequest} from 'heatherpond-admin';
import * as z from 'zod';
import {readLogOnce, type LogReadOptions} from './controllers/log-follower.js';
import {AdminCallError} from './proxy-error.js';

const MAX_TEXT_LENGTH = 200;

/**
 * Validates a change and appends it to the log. Resolves with its version, or with the log entries that conflict with
 * it.
 */
export async function submitChange(options: LogReadOptions, request: SubmitChangeRequest, callOptions: CallOptions): Promise<SubmitChangeReply> {
	const draft = parseDraft(request);
	const known = await options.platform.readOperation(draft.operationId, callOptions);
	if (known !== undefined) {
		return {accepted: true, version: known, conflicts: []};
	}

	const reply = await appendChecked(options, {
		draft, basedOn: request.basedOn, view: options.blackboard.read().view, since: [],
	}, callOptions);
	if (reply.accepted) {
		options.recordEvent('operatorCommand', {version: reply.version, step: draft.change.kind, reason: draft.author});
		await readLogOnce(options);
	}

	return reply;
}

function parseDraft({operationId, author, change: text}: SubmitChangeRequest): EntryDraft {
	const isNamed = [operationId, author].every(value => value.length > 0 && value.length <= MAX_TEXT_LENGTH);
	if (!isNamed) {
		throw new AdminCallError(`operation id and author must have 1 to ${MAX_TEXT_LENGTH} characters`);
	}

	return {operationId, author, change: parseChange(text)};
}

function parseChange(text: string): Change {
	try {
		return z.decode(changeSchema, JSON.parse(text) as z.input<typeof changeSchema>);
	} catch (error) {
		const reason = error instanceof z.ZodError ? z.prettifyError(error) : (error as Error).message;
		throw new AdminCallError(`the change is invalid: ${reason}`, {cause: error});
	}
}

/** Change to be appended to the log. */
type Submission = {
	readonly draft: EntryDraft;
	readonly basedOn: number;
	/** Newest known view. The change is appended directly after its version. */
	readonly view: FleetView;
	/** Known log entries between `basedOn` and the version of the view. */
	readonly since: readonly LogEntry[];
};

async function appendChecked(options: LogReadOptions, submission: Submission, callOptions: CallOptions): Promise<SubmitChangeReply> {
	let current = await updateToLatest(options, submission, callOptions);
	while (true) {
		const conflicts = findConflicts(current);
		if (conflicts.length > 0) {
			return {accepted: false, version: current.view.version, conflicts: conflicts.map(entry => encodeLogEntry(entry))};
		}

		checkChange(current.view, current.draft.change);
		const outcome = await options.platform.appendEntry(current.draft, current.view.version, callOptions);
		if (outcome.kind === 'accepted') {
			return {accepted: true, version: outcome.version, conflicts: []};
		}

		current = applyEntries(current, outcome.entries);
	}
}

/** Brings a submission up to date with the log: its view, and the entries since the version that the change is based on. */
async function updateToLatest({platform}: LogReadOptions, submission: Submission, callOptions: CallOptions): Promise<Submission> {
	const {view, basedOn} = submission;
	const start = basedOn > 0 ? Math.min(basedOn, view.version) : view.version;
	const entries = await readAllEntries(platform.readEntries, start, callOptions);
	if (basedOn > start + entries.length) {
		throw new AdminCallError(`the change is based on version ${basedOn}, but the log ends at version ${start + entries.length}`);
	}

	return applyEntries(submission, entries);
}

type ReadEntries = LogReadOptions['platform']['readEntries'];

async function readAllEntries(readEntries: ReadEntries, after: number, callOptions: CallOptions): Promise<readonly LogEntry[]> {
	const entries: LogEntry[] = [];
	let isComplete = false;
	while (!isComplete) {
		const page = await readEntries(after + entries.length, callOptions);
		entries.push(...page.entries);
		isComplete = page.isComplete;
	}

	return entries;
}

function applyEntries(submission: Submission, entries: readonly LogEntry[]): Submission {
	const view = entries.reduce((known, entry) => entry.version === known.version + 1 ? applyLogEntry(known, entry) : known, submission.view);
	return {...submission, view, since: [...submission.since, ...entries]};
}

function findConflicts({draft, basedOn, since}: Submission): readonly LogEntry[] {
	const subject = formatChangeSubject(draft.change);
	return since.filter(entry => basedOn > 0 && entry.version > basedOn && formatChangeSubject(entry.change) === subject);
}

/** Reads the log entries that concern one subject, oldest first. An empty subject selects all entries. */
export async function readHistory({platform}: LogReadOptions, {subject, after}: ReadHistoryRequest, callOptions: CallOptions): Promise<readonly LogEntry[]> {
	const entries = await readAllEntries(platform.readEntries, after, callOptions);
	return entries.filter(entry => subject === '' || formatChangeSubject(entry.change) === subject);
}
