/** Errors of the entry host. */
import {status} from '@grpc/grpc-js';
import ModernError from 'modern-errors';

/** The entry host cannot start or continue. */
export const ProxyError = ModernError.subclass('ProxyError');

/** An operator call failed; `grpcStatus` is the gRPC status sent to the client. */
export const AdminCallError = ModernError.subclass('AdminCallError', {props: {grpcStatus: status.INVALID_ARGUMENT as status}});
