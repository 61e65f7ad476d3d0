/**
 * A queue that shares service fairly among teams: weighted deficit round robin. Each team has a first-in-first-out
 * queue of its own and earns a quantum by its weight in each round, so a team that sends many times more than others
 * delays itself.
 */

/** What waits. */
export type QueuedItem = {
	readonly team: string;
	/** Share of service relative to other teams. */
	readonly weight: number;
	readonly cost: number;
	readonly bytes: number;
};

type TeamQueue<Item> = {
	readonly team: string;
	readonly items: Item[];
	/** Cost that the team may still be served in this round. */
	deficit: number;
	bytes: number;
};

/** A fair queue; it is changed in place. */
export type FairQueue<Item extends QueuedItem> = {
	readonly insert: (item: Item) => void;
	/** Takes the item that is due, or nothing when the queue is empty. */
	readonly take: () => Item | undefined;
	/** Removes an item that no longer waits; tells whether it was there. */
	readonly remove: (item: Item) => boolean;
	readonly countItems: () => number;
	readonly countTeamItems: (team: string) => number;
	readonly countTeamBytes: (team: string) => number;
	readonly readItems: () => readonly Item[];
};

/** Cost that a team of weight 1 earns in a round. */
const QUANTUM = 1;

/** Creates an empty queue. */
export function createFairQueue<Item extends QueuedItem>(): FairQueue<Item> {
	/** Teams with items, in the order in which their turns come. */
	let queues: Array<TeamQueue<Item>> = [];
	let count = 0;

	function findQueue(team: string): TeamQueue<Item> | undefined {
		return queues.find(queue => queue.team === team);
	}

	function takeAt(queue: TeamQueue<Item>, index: number): Item {
		const [item] = queue.items.splice(index, 1);
		queue.bytes -= item!.bytes;
		count--;
		if (queue.items.length === 0) {
			queues = queues.filter(other => other !== queue);
		}

		return item!;
	}

	function take(): Item | undefined {
		const [queue] = queues;
		const first = queue?.items[0];
		if (!queue || !first) {
			return undefined;
		}

		if (queue.deficit >= first.cost) {
			queue.deficit -= first.cost;
			return takeAt(queue, 0);
		}

		queue.deficit += QUANTUM * first.weight;
		queues = [...queues.slice(1), queue];
		return take();
	}

	return {
		insert(item) {
			const queue = findQueue(item.team) ?? {
				team: item.team, items: [], deficit: 0, bytes: 0,
			};
			if (queue.items.length === 0) {
				queues = [...queues, queue];
			}

			queue.items.push(item);
			queue.bytes += item.bytes;
			count++;
		},
		take,
		remove(item) {
			const queue = findQueue(item.team);
			const index = queue?.items.indexOf(item) ?? -1;
			if (queue && index !== -1) {
				takeAt(queue, index);
			}

			return index !== -1;
		},
		countItems: () => count,
		countTeamItems: team => findQueue(team)?.items.length ?? 0,
		countTeamBytes: team => findQueue(team)?.bytes ?? 0,
		readItems: () => queues.flatMap(queue => queue.items),
	};
}
