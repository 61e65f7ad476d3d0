/** Loads the PEM files for TLS connections between hosts. */
import {readFile} from 'node:fs/promises';
import type {ProxySettings} from 'heatherpond-config';
import type {PeerTls} from 'heatherpond-peer';
import {ProxyError} from './proxy-error.js';

/**
 * Loads the certificate, key and authority named in the settings. Resolves with `undefined` if TLS is not configured.
 *
 * @throws ProxyError if a file cannot be read
 */
export async function readPeerTls(settings: ProxySettings['peerTls']): Promise<PeerTls | undefined> {
	if (!settings) {
		return undefined;
	}

	const [certificate, key, authority] = await Promise.all([settings.certificateFile, settings.keyFile, settings.authorityFile].map(async path => readPem(path)));
	return {certificate: certificate!, key: key!, authority: authority!};
}

async function readPem(path: string): Promise<string> {
	try {
		return await readFile(path, 'utf8');
	} catch (error) {
		throw new ProxyError(`cannot read file ${path}`, {cause: error});
	}
}
