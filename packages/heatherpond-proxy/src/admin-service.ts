/** Server side of the admin service. */
import {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	status, type Metadata, type sendUnaryData, type ServerUnaryCall,
} from '@grpc/grpc-js';
import {
	OPERATOR_TOKEN_KEY, type AdminServer, type ReadHistoryReply, type ReadStatusReply, type RequestSwitchoverReply, type RequestSwitchoverRequest,
} from 'heatherpond-admin';
import {
	ChangeRefusedError, encodeLogEntry, PortError, readStampAge, type CallOptions,
} from 'heatherpond-core';
import {encodeView} from 'heatherpond-changelog';
import type {LogReadOptions} from './controllers/log-follower.js';
import {readHistory, submitChange} from './operator-changes.js';
import {AdminCallError} from './proxy-error.js';

/** Performs a planned switchover. Resolves with the new primary and its term. */
export type RequestSwitchover = (request: RequestSwitchoverRequest, options: CallOptions) => Promise<RequestSwitchoverReply>;

/** Dependencies of the admin service. */
export type AdminServiceOptions = LogReadOptions & {
	/** SHA-256 hash of the operator token in lower-case hexadecimal. Without it, operator calls need no token. */
	readonly operatorTokenHash?: string;
	/** Without it, switchover calls fail as unimplemented. */
	readonly requestSwitchover?: RequestSwitchover;
};

/** Time limit of an operator call. */
const CALL_TIMEOUT_MS = 8000;

/** Creates the admin service on top of the host's view and the platform. */
export function createAdminService(options: AdminServiceOptions): AdminServer {
	const {blackboard, clock, signal} = options;

	function createHandler<Request, Reply>(serve: (request: Request, callOptions: CallOptions) => Promise<Reply>) {
		return (call: ServerUnaryCall<Request, Reply>, reply: sendUnaryData<Reply>) => {
			const callOptions = {deadline: clock.readNow() + CALL_TIMEOUT_MS, signal};
			void respondToCall(reply, async () => {
				checkOperator(call.metadata, options.operatorTokenHash);
				return serve(call.request, callOptions);
			});
		};
	}

	return {
		submitChange: createHandler(async (request, callOptions) => submitChange(options, request, callOptions)),
		readView: createHandler(async () => ({view: encodeView(blackboard.read().view)})),
		readStatus: createHandler(async () => readHostStatus(options)),
		readHistory: createHandler(async (request, callOptions): Promise<ReadHistoryReply> => {
			const entries = await readHistory(options, request, callOptions);
			return {entries: entries.map(entry => encodeLogEntry(entry))};
		}),
		requestSwitchover: createHandler(async (request, callOptions) => {
			if (!options.requestSwitchover) {
				throw new AdminCallError('this host does not support switchovers', {props: {grpcStatus: status.UNIMPLEMENTED}});
			}

			return options.requestSwitchover(request, callOptions);
		}),
	};
}

function readHostStatus({blackboard, clock}: AdminServiceOptions): ReadStatusReply {
	const {identity, phase, view, stamp} = blackboard.read();
	const age = readStampAge(stamp, clock.readNow());
	return {
		host: identity.host, incarnation: identity.incarnation, domain: identity.domain, phase, version: view.version, stampAgeMs: Number.isFinite(age) ? age : undefined,
	};
}

/**
 * Checks the operator token in the metadata of a call.
 *
 * @throws AdminCallError if the token is missing or wrong
 */
export function checkOperator(metadata: Metadata, expected: string | undefined): void {
	if (expected === undefined) {
		return;
	}

	const token = String(metadata.get(OPERATOR_TOKEN_KEY).at(0) ?? '');
	const hash = createHash('sha256').update(token).digest();
	if (!timingSafeEqual(hash, Buffer.from(expected, 'hex'))) {
		throw new AdminCallError(token === '' ? 'the operator token is missing' : 'the operator token is wrong', {props: {grpcStatus: status.UNAUTHENTICATED}});
	}
}

async function respondToCall<Reply>(reply: sendUnaryData<Reply>, serve: () => Promise<Reply>): Promise<void> {
	try {
		reply(null, await serve());
	} catch (error) {
		reply({code: convertToStatus(error), details: (error as Error).message});
	}
}

function convertToStatus(error: unknown): status {
	if (error instanceof AdminCallError) {
		return error.grpcStatus;
	}

	if (error instanceof ChangeRefusedError) {
		return status.FAILED_PRECONDITION;
	}

	if (error instanceof PortError) {
		return error.code === 'refused' ? status.FAILED_PRECONDITION : status.UNAVAILABLE;
	}

	return status.INTERNAL;
}
