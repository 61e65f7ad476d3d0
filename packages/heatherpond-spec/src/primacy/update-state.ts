/** Helpers that find and replace parts of a state of the primacy model. */
import {SpecError} from '../spec-error.js';
import type {
	HostModel, MemberModel, PrimacyState, PromotionState, WriteModel,
} from './primacy-state.js';

/**
 * Finds the item with a name.
 *
 * @throws SpecError if there is none
 */
export function findByName<Item extends {readonly name: string}>(items: readonly Item[], name: string): Item {
	const item = items.find(candidate => candidate.name === name);
	if (!item) {
		throw new SpecError(`the model has no host or member named "${name}"`);
	}

	return item;
}

/** Returns the state with some properties of one host replaced. */
export function updateHost(state: PrimacyState, name: string, change: Partial<HostModel>): PrimacyState {
	return {...state, hosts: state.hosts.map(host => host.name === name ? {...host, ...change} : host)};
}

/** Returns the state with some properties of one host's promotion replaced; a host without a promotion stays as it is. */
export function updatePromotion(state: PrimacyState, name: string, change: Partial<PromotionState>): PrimacyState {
	const {promotion} = findByName(state.hosts, name);
	return updateHost(state, name, {promotion: promotion && {...promotion, ...change}});
}

/** Returns the state with some properties of one member replaced. */
export function updateMember(state: PrimacyState, name: string, change: Partial<MemberModel>): PrimacyState {
	return {...state, members: state.members.map(member => member.name === name ? {...member, ...change} : member)};
}

/** Returns the state with some properties of one write replaced. */
export function updateWrite(state: PrimacyState, id: number, change: Partial<WriteModel>): PrimacyState {
	return {...state, writes: state.writes.map(write => write.id === id ? {...write, ...change} : write)};
}
