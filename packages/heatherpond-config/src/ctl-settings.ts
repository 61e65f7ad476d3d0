/** Settings of the command line tool `heatherpondctl`. */
import {nameSchema} from 'heatherpond-core';
import * as z from 'zod';
import {addressSchema} from './proxy-settings.js';

/** Settings of `heatherpondctl`; all are optional. */
export const ctlSettingsSchema = z.strictObject({
	/** Addresses of hosts, in the order in which they are tried. */
	hosts: z.array(addressSchema).default([]),
	/** File that contains the operator token. */
	tokenFile: z.string().min(1).optional(),
	/** Author recorded with changes; the name of the operating system user if absent. */
	author: z.string().min(1).max(200).optional(),
	/** Mutual TLS; required if the hosts are configured with `peerTls`. */
	tls: z.strictObject({
		/** Name of the deployment, which is the subject alternative name of the host certificates. */
		deployment: nameSchema,
		certificateFile: z.string().min(1),
		keyFile: z.string().min(1),
		/** Certificate of the authority that signs the certificates of all hosts. */
		authorityFile: z.string().min(1),
	}).optional(),
});

export type CtlSettings = z.infer<typeof ctlSettingsSchema>;
