/** Snapshots of the fleet view in the platform's object store. Table row `snapshot` points to the latest one by its content hash. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {
	fleetViewSchema, PortError, type CallOptions, type FleetView,
} from 'heatherpond-core';
import * as z from 'zod';
import type {PlatformConnection} from './platform-client.js';

const SNAPSHOT_KEY = 'snapshot';

const snapshotPointerSchema = z.object({version: z.number().int().nonnegative(), name: z.string()});

type SnapshotPointer = z.infer<typeof snapshotPointerSchema>;

/** Attempts to update the pointer while other hosts update it concurrently. */
const MAX_POINTER_ATTEMPTS = 5;

/** Pointer with the revision of its row; revision 0 if the row does not exist. */
type PointerRow = {readonly revision: number; readonly pointer?: SnapshotPointer};

async function readPointer({call}: PlatformConnection, options: CallOptions): Promise<PointerRow> {
	const reply = await call(client => client.scan, {from: SNAPSHOT_KEY, until: `${SNAPSHOT_KEY}\0`, limit: 1}, options);
	const row = reply.rows.at(0);
	return row ? {revision: row.revision, pointer: parsePointer(row.value)} : {revision: 0};
}

/** Parses the pointer; a malformed one is treated as absent, and the next snapshot replaces it. */
function parsePointer(value: Buffer): SnapshotPointer | undefined {
	try {
		return snapshotPointerSchema.parse(JSON.parse(value.toString('utf8')));
	} catch {
		return undefined;
	}
}

/**
 * Reads the latest snapshot; `undefined` if none was written.
 *
 * @throws PortError with code `invalid` when the snapshot is missing, corrupt, or in a format that this version cannot decode
 */
export async function readSnapshot(connection: PlatformConnection, options: CallOptions): Promise<FleetView | undefined> {
	const {pointer} = await readPointer(connection, options);
	if (!pointer) {
		return undefined;
	}

	const reply = await connection.call(client => client.getObject, {name: pointer.name}, options);
	if (!reply.found) {
		throw new PortError(`the snapshot of version ${pointer.version} is missing from the object store`, {props: {code: 'invalid'}});
	}

	if (formatContentHash(reply.content) !== pointer.name) {
		throw new PortError(`the snapshot of version ${pointer.version} is corrupt: its content does not match its hash`, {props: {code: 'invalid'}});
	}

	return parseView(reply.content, pointer);
}

function parseView(content: Buffer, pointer: SnapshotPointer): FleetView {
	try {
		return decodeView(content.toString('utf8'));
	} catch (error) {
		throw new PortError(`the snapshot of version ${pointer.version} cannot be decoded`, {cause: error, props: {code: 'invalid'}});
	}
}

/** Stores a snapshot and points to it, unless the pointer already names this version or a newer one. */
export async function writeSnapshot(connection: PlatformConnection, view: FleetView, options: CallOptions): Promise<void> {
	const content = Buffer.from(encodeView(view));
	const name = formatContentHash(content);
	let current = await readPointer(connection, options);
	if ((current.pointer?.version ?? -1) >= view.version) {
		return;
	}

	await connection.call(client => client.putObject, {name, content}, options);
	const value = Buffer.from(JSON.stringify({version: view.version, name}));
	for (let attempt = 0; attempt < MAX_POINTER_ATTEMPTS && (current.pointer?.version ?? -1) < view.version; attempt++) {
		const reply = await connection.call(client => client.commit, {conditions: [{key: SNAPSHOT_KEY, revision: current.revision}], writes: [{key: SNAPSHOT_KEY, value}]}, options);
		if (reply.committed) {
			return;
		}

		current = await readPointer(connection, options);
	}
}

function formatContentHash(content: Buffer): string {
	return createHash('sha256').update(content).digest('hex');
}

/** Encodes a fleet view as JSON; bigint values become strings of decimal digits followed by `n`. */
export function encodeView(view: FleetView): string {
	return JSON.stringify(view, (_key, value: unknown) => typeof value === 'bigint' ? `${value}n` : value);
}

/** Field of a view that holds a bigint: where the log of a term starts. Texts elsewhere are names, which may look like one. */
const BIGINT_FIELD = 'start';
const BIGINT_PATTERN = /^\d+n$/v;

/** Decodes a fleet view that `encodeView` encoded. */
export function decodeView(text: string): FleetView {
	return fleetViewSchema.parse(JSON.parse(text, (key, value: unknown) => key === BIGINT_FIELD && typeof value === 'string' && BIGINT_PATTERN.test(value) ? BigInt(value.slice(0, -1)) : value));
}
