/** Errors of the calls between hosts. */
import ModernError from 'modern-errors';

/** A gRPC call to a peer failed; `cause` is the error of the gRPC client. */
export const PeerError = ModernError.subclass('PeerError');
