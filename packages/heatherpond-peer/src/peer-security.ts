/** Credentials for gRPC connections between hosts: plain text or mutual TLS. */
import {Buffer} from 'node:buffer';
import {ChannelCredentials, ServerCredentials} from '@grpc/grpc-js';

/**
 * PEM-encoded certificates and key for mutual TLS between hosts. The certificate's subject alternative name is the name
 * of the deployment, so that a certificate of another deployment is rejected at any address.
 */
export type PeerTls = {
	readonly certificate: string;
	readonly key: string;
	/** Certificate of the authority that signs the certificates of all hosts. */
	readonly authority: string;
};

/** Creates the server credentials; plain text without `tls`. */
export function createPeerServerCredentials(tls: PeerTls | undefined): ServerCredentials {
	return tls
		? ServerCredentials.createSsl(Buffer.from(tls.authority), [{cert_chain: Buffer.from(tls.certificate), private_key: Buffer.from(tls.key)}], true)
		: ServerCredentials.createInsecure();
}

/** Creates the client credentials; plain text without `tls`. */
export function createPeerChannelCredentials(tls: PeerTls | undefined): ChannelCredentials {
	return tls
		? ChannelCredentials.createSsl(Buffer.from(tls.authority), Buffer.from(tls.key), Buffer.from(tls.certificate))
		: ChannelCredentials.createInsecure();
}
