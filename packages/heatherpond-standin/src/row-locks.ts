/** Row locks of one database. A transaction holds its locks until it ends; waiting transactions are served in FIFO order. */
import type {Clock, Deadline} from 'heatherpond-core';
import {LockTimeoutError} from './standin-error.js';

/** Identity of the transaction that holds locks. */
export type LockOwner = {readonly id: symbol};

/** Exclusive row locks of one database. */
export type RowLocks = {
	/** Acquires a lock without waiting; returns whether it was free or already held by the owner. */
	readonly acquireIfFree: (owner: LockOwner, key: string) => boolean;
	/** Acquires a lock, waiting if necessary; rejects with a LockTimeoutError at the deadline. */
	readonly acquire: (owner: LockOwner, key: string, deadline: Deadline) => Promise<void>;
	/** Releases all locks of an owner. */
	readonly release: (owner: LockOwner) => void;
	/** Returns the number of locks that are held. */
	readonly countHeld: () => number;
};

/** A transaction waiting for a lock, and the callback for when it has acquired it. */
type Waiter = {readonly owner: LockOwner; readonly handleAcquired: () => void};

/** A lock with its holder and the transactions waiting for it, in order of arrival. */
type HeldLock = {owner: LockOwner; readonly waiters: Waiter[]};

/** Formats the lock key of a row. */
export function formatLockKey(table: string, key: string): string {
	return `${table}\0${key}`;
}

/** Creates a lock manager with no locks held. */
export function createRowLocks(clock: Clock): RowLocks {
	const held = new Map<string, HeldLock>();
	const keysByOwner = new Map<LockOwner, Set<string>>();

	function recordOwner(key: string, owner: LockOwner): void {
		const keys = keysByOwner.get(owner) ?? new Set<string>();
		keys.add(key);
		keysByOwner.set(owner, keys);
	}

	function acquireIfFree(owner: LockOwner, key: string): boolean {
		const lock = held.get(key);
		if (lock) {
			return lock.owner === owner;
		}

		held.set(key, {owner, waiters: []});
		recordOwner(key, owner);
		return true;
	}

	/** Releases a lock, or passes it to the first waiter. */
	function releaseKey(key: string): void {
		const lock = held.get(key)!;
		const next = lock.waiters.shift();
		if (!next) {
			held.delete(key);
			return;
		}

		lock.owner = next.owner;
		recordOwner(key, next.owner);
		next.handleAcquired();
	}

	async function waitForLock(owner: LockOwner, lock: HeldLock, deadline: Deadline): Promise<void> {
		return new Promise<void>((resolve, reject) => {
			const waiter: Waiter = {
				owner,
				handleAcquired() {
					stopTimer();
					resolve();
				},
			};
			const stopTimer = clock.registerTimer(deadline, () => {
				lock.waiters.splice(lock.waiters.indexOf(waiter), 1);
				reject(new LockTimeoutError('canceling statement due to lock timeout'));
			});
			lock.waiters.push(waiter);
		});
	}

	return {
		acquireIfFree,
		async acquire(owner, key, deadline) {
			if (!acquireIfFree(owner, key)) {
				await waitForLock(owner, held.get(key)!, deadline);
			}
		},
		release(owner) {
			const keys = keysByOwner.get(owner);
			keysByOwner.delete(owner);
			keys?.forEach(releaseKey);
		},
		countHeld: () => held.size,
	};
}
