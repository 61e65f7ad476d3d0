/** Strategies for distributing a snapshot to the hosts of a failure domain that start at once. */
import type {PacedNode} from './paced-node.js';

/** The platform as source and the hosts that need the snapshot. */
export type SpreadContext = {
	readonly source: PacedNode;
	readonly hosts: readonly PacedNode[];
	/** Number of parts that the snapshot is split into. */
	readonly parts: number;
};

/** Distributes every part to every host. */
export type SpreadStrategy = (context: SpreadContext) => Promise<void>;

function createIndexes(count: number): readonly number[] {
	return Array.from({length: count}, (_value, index) => index);
}

async function fetchInOrder(host: PacedNode, parts: readonly number[], findAddress: (part: number) => string): Promise<void> {
	for (const part of parts) {
		await host.fetchPart(findAddress(part), part);
	}
}

/** Every host fetches the whole snapshot from the platform. */
export async function fetchDirectly({source, hosts, parts}: SpreadContext): Promise<void> {
	await Promise.all(hosts.map(async host => fetchInOrder(host, createIndexes(parts), () => source.address)));
}

/** The first host fetches from the platform, and every other host from its parent in a tree with the given fan-out. */
export function createTreeStrategy(fanOut: number): SpreadStrategy {
	return async ({source, hosts, parts}) => {
		await Promise.all(hosts.map(async (host, index) => {
			const parent = index === 0 ? source : hosts[Math.floor((index - 1) / fanOut)]!;
			await fetchInOrder(host, createIndexes(parts), () => parent.address);
		}));
	};
}

/** Each host fetches its share of the parts from the platform and the remaining parts from the hosts that own them. */
export async function fetchByParts({hosts, source, parts}: SpreadContext): Promise<void> {
	await Promise.all(hosts.map(async (host, index) => {
		const rotated = createIndexes(parts).map(part => (part + index) % parts);
		const own = rotated.filter(part => part % hosts.length === index % hosts.length);
		const others = rotated.filter(part => part % hosts.length !== index % hosts.length);
		await Promise.all([
			fetchInOrder(host, own, () => source.address),
			fetchInOrder(host, others, part => hosts[part % hosts.length]!.address),
		]);
	}));
}
