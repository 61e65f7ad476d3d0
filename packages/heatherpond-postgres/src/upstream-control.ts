/** Status, fencing and promotion of databases, by calls of SQL functions over the PostgreSQL protocol. */
import {Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import {
	databaseStatusSchema, PortError, type Clock, type DatabaseStatus, type Member, type UpstreamCallOptions, type UpstreamPort,
} from 'heatherpond-core';
import {BACKEND, createFieldReader, type Frame} from 'heatherpond-wire';
import type {UpstreamCredentials} from './upstream-authentication.js';
import {openUpstreamConnection, type UpstreamConnection} from './upstream-connection.js';

/** Options of the control port. */
export type UpstreamControlOptions = {
	readonly credentials: UpstreamCredentials;
	/** `application_name` that databases see. */
	readonly applicationName: string;
	readonly clock: Clock;
	/** Closes all idle control connections when it aborts. */
	readonly signal: AbortSignal;
};

/** Maximum number of idle connections kept per database; probes, proofs of primacy and promotions run concurrently. */
const MAX_IDLE_CONNECTIONS = 4;

/** SQL text of a control function call, with its parameters. */
type ControlQuery = {readonly text: string; readonly values: readonly string[]};

/** Creates the port through which a host controls databases. */
export function createUpstreamControl(options: UpstreamControlOptions): UpstreamPort {
	const idleConnections = new Map<string, UpstreamConnection[]>();
	options.signal.addEventListener('abort', () => {
		[...idleConnections.values()].flat().forEach(connection => {
			connection.destroy();
		});
	}, {once: true});

	function findIdleConnections(member: Member): UpstreamConnection[] {
		const key = `${member.name}@${member.host}:${member.port}`;
		const connections = idleConnections.get(key) ?? [];
		idleConnections.set(key, connections);
		return connections;
	}

	function takeIdleConnection(connections: UpstreamConnection[]): UpstreamConnection | undefined {
		const connection = connections.pop();
		return !connection || connection.isOpen() ? connection : takeIdleConnection(connections);
	}

	function releaseConnection(member: Member, connection: UpstreamConnection): void {
		const connections = findIdleConnections(member);
		if (connections.length < MAX_IDLE_CONNECTIONS && !options.signal.aborted) {
			connections.push(connection);
		} else {
			connection.destroy();
		}
	}

	async function acquireConnection(member: Member, call: UpstreamCallOptions): Promise<UpstreamConnection> {
		const connections = findIdleConnections(member);
		if (call.onNewConnection) {
			// The caller asked for a new connection because the idle ones may be unresponsive, so they are closed.
			connections.splice(0).forEach(connection => {
				connection.destroy();
			});
		}

		return takeIdleConnection(connections) ?? openUpstreamConnection({
			member, database: 'control', credentials: options.credentials, applicationName: options.applicationName, clock: options.clock, deadline: call.deadline,
		});
	}

	async function runQuery(member: Member, {text, values}: ControlQuery, call: UpstreamCallOptions): Promise<DatabaseStatus> {
		const connection = await acquireConnection(member, call).catch((error: unknown) => {
			throw new PortError(`could not open a control connection to database ${member.name}`, {cause: error, props: {code: 'unavailable'}});
		});
		const messages = [serialize.parse({text}), serialize.bind({values: [...values]}), serialize.execute(), serialize.sync()];
		const rows: string[] = [];
		const errors: string[] = [];
		await connection.exchange(messages, frame => {
			if (frame.type === BACKEND.dataRow) {
				rows.push(readFirstValue(frame));
			} else if (frame.type === BACKEND.errorResponse) {
				errors.push(readErrorMessage(frame));
			}
		}, call.deadline).catch((error: unknown) => {
			// The cause of the failure, such as a dropped network flow, may affect all connections that were open at
			// that time.
			findIdleConnections(member).splice(0).forEach(other => {
				other.destroy();
			});
			throw new PortError(`database ${member.name} did not respond to a control query`, {cause: error, props: {code: 'unavailable'}});
		});
		releaseConnection(member, connection);
		if (errors.length > 0) {
			throw new PortError(`database ${member.name} rejected a control query: ${errors[0]}`, {props: {code: 'refused'}});
		}

		return parseStatus(member, rows[0]);
	}

	return {
		readStatus: async (member, call) => runQuery(member, {text: 'SELECT heatherpond_status()', values: []}, call),
		raiseTerm: async (member, term, promoter, call) => runQuery(member, {text: 'SELECT heatherpond_raise_term($1, $2)', values: [String(term), promoter]}, call),
		promote: async (member, term, promoter, call) => runQuery(member, {text: 'SELECT heatherpond_promote($1, $2)', values: [String(term), promoter]}, call),
		follow: async (member, primary, term, call) => runQuery(member, {text: 'SELECT heatherpond_follow($1, $2)', values: [primary.name, String(term)]}, call),
	};
}

function readFirstValue(frame: Frame): string {
	const fields = createFieldReader(frame.body);
	fields.readInt16();
	const length = fields.readInt32();
	return length === -1 ? '' : Buffer.from(fields.readBytes(length)).toString('utf8');
}

/** Type of the ErrorResponse field that holds the message. */
const MESSAGE_FIELD = 'M'.codePointAt(0);

function readErrorMessage(frame: Frame): string {
	const fields = createFieldReader(frame.body);
	let type = fields.readByte();
	while (type !== 0) {
		const text = fields.readDisplayText();
		if (type === MESSAGE_FIELD) {
			return text;
		}

		type = fields.readByte();
	}

	return 'no error message';
}

function parseStatus(member: Member, text: string | undefined): DatabaseStatus {
	try {
		return databaseStatusSchema.parse(JSON.parse(text ?? '', (key, value: unknown) => key === 'position' ? BigInt(value as string) : value));
	} catch (error) {
		throw new PortError(`database ${member.name} returned an invalid status`, {cause: error, props: {code: 'invalid'}});
	}
}
