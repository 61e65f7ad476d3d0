/** Canonical text of a state of the primacy model. */
import {
	LEASE_DURATION, type HostModel, type MemberModel, type PrimacyScope, type PrimacyState, type PromotionState, type WriteModel,
} from './primacy-state.js';

/** Texts of a part of the state, one for each permutation of interchangeable names. */
type Variants = readonly string[];

/** Creates a formatter that gives states the same text if they differ only in interchangeable names or in values that no rule reads. */
export function createPrimacyFormatter(scope: PrimacyScope): (state: PrimacyState) => string {
	const formatMembers = createCachedFormatter(scope, formatMember);
	const formatWrites = createCachedFormatter(scope, formatWrite);
	const formatPrimaries = createCachedFormatter(scope, formatPromotedPrimaries);
	const formatHead = createCachedFormatter(scope, (head: PrimacyState['head']) => head.text);
	const formatHostsAt = new Map<number, (host: HostModel) => Variants>();

	function formatHosts(state: PrimacyState, host: HostModel): Variants {
		const cached = formatHostsAt.get(state.now) ?? createCachedFormatter(scope, (item: HostModel) => formatHost(scope, state.now, item));
		formatHostsAt.set(state.now, cached);
		return cached(host);
	}

	return state => {
		const parts = [
			...state.hosts.map(host => formatHosts(state, host)), ...state.members.map(member => formatMembers(member)), ...state.writes.map(write => formatWrites(write)),
		];
		const head = formatHead(state.head);
		const promotedPrimaries = formatPrimaries(state.promotedPrimaries);
		const texts = head.map((text, variant) => `${parts.map(part => part[variant]!).toSorted().join(';')};${promotedPrimaries[variant]};${text};${state.now};${state.violation}`);
		return texts.toSorted().at(0)!;
	};
}

function createCachedFormatter<Item extends object>(scope: PrimacyScope, format: (item: Item) => string): (item: Item) => Variants {
	const texts = new WeakMap<Item, Variants>();
	return item => {
		const cached = texts.get(item) ?? scope.symmetries.reduce<Variants>((variants, pair) => [...variants, ...variants.map(text => exchangeNames(text, pair))], [format(item)]);
		texts.set(item, cached);
		return cached;
	};
}

function exchangeNames(text: string, [left, right]: readonly [string, string]): string {
	return text.replaceAll(left, '\u0000').replaceAll(right, left).replaceAll('\u0000', right);
}

function formatAge(now: number, instant: number): number {
	return Math.min(LEASE_DURATION, now - instant);
}

function formatMember({name, term, grantedTo, primaryTerm, follows, history}: MemberModel): string {
	return `${name}:${term}:${grantedTo}:${primaryTerm}:${follows}:${history.map(record => `${record.term}.${record.write}`).join(',')}`;
}

function formatWrite(write: WriteModel): string {
	const {id, stage, host, database, point, proof, runs} = write;
	const isOver = stage === 'acknowledged' || stage === 'reportedLost';
	return `${id}:${stage}:${isOver ? '' : `${host}:${database}`}:${point.term}.${point.position}:${proof}:${runs}`;
}

function formatPromotedPrimaries(promotedPrimaries: PrimacyState['promotedPrimaries']): string {
	return promotedPrimaries.map(({term, member, history}) => `${term}${member}${history.map(record => record.write).join(',')}`).join(' ');
}

/** Formats a host. The stamp is included only for hosts that write or relay stamps; no rule reads it otherwise. */
function formatHost(scope: PrimacyScope, now: number, host: HostModel): string {
	const {name, log, verifiedAt, answer, promotion, fencedTerm, removals} = host;
	const hasStamp = scope.relay === name || scope.writers.includes(name);
	const stamp = hasStamp ? formatAge(now, verifiedAt) : '';
	const ages = answer && hasStamp ? `${formatAge(now, answer.askedAt - answer.age)}/${formatAge(now, answer.askedAt)}/${answer.isRelayed}` : '';
	const removed = removals.filter(removal => now - removal.seenAt < LEASE_DURATION).map(removal => removal.host).join(',');
	return `${name}:${log.text}:${stamp}:${answer?.log.text}:${ages}:${removed}:${scope.writers.includes(name) ? fencedTerm : ''}:${promotion ? formatPromotion(now, promotion) : ''}`;
}

/** Formats a promotion. After the promotion, no rule reads the grants and confirmations that led to it. */
function formatPromotion(now: number, promotion: PromotionState): string {
	const {term, stage, askedAt, knownAt, entry, granted, confirmed, primary, start} = promotion;
	if (stage === 'promoted') {
		return `${term}/${primary}@${start}`;
	}

	const instant = formatAge(now, stage === 'asked' ? askedAt : knownAt);
	const grants = granted.map(({name, last}) => `${name}.${last.term}.${last.position}`).toSorted().join(',');
	return `${term}/${stage}/${instant}/${entry?.text}/${grants}/${confirmed.join(',')}`;
}
