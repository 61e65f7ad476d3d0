/**
 * Weighted deficit round robin over teams. Each team has its own FIFO queue and earns deficit in proportion to its
 * weight in every round, so a team that sends far more requests than others delays only itself.
 */

/** An item waiting in the queue. */
export type QueuedItem = {
	readonly team: string;
	/** Relative share of service. */
	readonly weight: number;
	readonly cost: number;
	readonly bytes: number;
};

type TeamQueue<Item> = {
	readonly team: string;
	readonly items: Item[];
	/** Cost that may still be served to the team in this round. */
	deficit: number;
	bytes: number;
};

/** A mutable fair queue. */
export type FairQueue<Item extends QueuedItem> = {
	readonly insert: (item: Item) => void;
	/** Removes and returns the next item; `undefined` when the queue is empty. */
	readonly take: () => Item | undefined;
	/** Removes a given item; returns whether it was in the queue. */
	readonly remove: (item: Item) => boolean;
	readonly countItems: () => number;
	readonly countTeamItems: (team: string) => number;
	readonly countTeamBytes: (team: string) => number;
	readonly readItems: () => readonly Item[];
};

/** Deficit that a team of weight 1 earns per round. */
const QUANTUM = 1;

/** Creates an empty queue. */
export function createFairQueue<Item extends QueuedItem>(): FairQueue<Item> {
	/** Non-empty team queues in the order in which they are served. */
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
