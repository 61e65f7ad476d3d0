/** Scopes of the primacy model. Each is just large enough for the rules that it covers to make a difference. */
import type {PrimacyScope} from './primacy-state.js';

/** One host writes with lease proofs while another host promotes. */
export const LEASE_SCOPE: PrimacyScope = {
	name: 'primacy: leases',
	hosts: ['h1', 'h2'],
	registered: ['h1', 'h2'],
	promoters: {h1: 2},
	writers: ['h2'],
	removable: [],
	members: ['db1', 'db2', 'db3'],
	durability: 'primary',
	hasFallback: true,
	isStoreless: false,
	writes: 1,
	hasInitialWrite: false,
	maxTicks: 1,
	symmetries: [['db2', 'db3']],
};

/** The host that writes may be removed from the log. */
export const REMOVAL_SCOPE: PrimacyScope = {
	...LEASE_SCOPE, name: 'primacy: removal', removable: ['h2'], maxTicks: 0,
};

/** Hosts relay stamps to each other. */
export const RELAY_SCOPE: PrimacyScope = {
	...LEASE_SCOPE, name: 'primacy: relayed stamps', hosts: ['h1', 'h2', 'h3'], registered: ['h1', 'h2', 'h3'], relay: 'h3', hasFallback: false, hasInitialWrite: true,
};

/** A third host reads the log without being registered. */
export const UNREGISTERED_HOST_SCOPE: PrimacyScope = {
	...LEASE_SCOPE, name: 'primacy: unregistered host', hosts: ['h1', 'h2', 'h3'], maxTicks: 0, writers: ['h2', 'h3'],
};

/** Two hosts promote, in successive terms. */
export const RACE_SCOPE: PrimacyScope = {
	...LEASE_SCOPE, name: 'primacy: two promoters', registered: ['h2'], promoters: {h1: 2, h2: 3}, maxTicks: 0, hasFallback: false, hasInitialWrite: true,
};

/** Two hosts promote while the store is unavailable, in a group in which every write needs a replica proof. */
export const STORELESS_SCOPE: PrimacyScope = {
	...LEASE_SCOPE, name: 'primacy: without the store', promoters: {h1: 2, h2: 3}, writers: ['h1'], durability: 'replica', isStoreless: true, maxTicks: 0,
};
