/** The specification of read-your-writes with its invariants, scopes and mutants. */
import {decideRoute, isIncluded, isSurviving} from 'heatherpond-core';
import type {Mutant, Specification} from '../model.js';
import {createSessionModel, SESSION_INVARIANTS, type SessionScope} from './session-model.js';
import {SESSION_RULES, type SessionRules} from './session-rules.js';

const DEFAULT_SCOPE: SessionScope = {databases: ['db1', 'db2'], maxTerm: 3, maxOthers: 2};
const LARGE_SCOPE: SessionScope = {databases: ['db1', 'db2', 'db3'], maxTerm: 3, maxOthers: 2};

type MutantDescription = Pick<Mutant, 'name' | 'rule' | 'code'>;

function createMutant(text: MutantDescription, change: Partial<SessionRules>): Mutant {
	return {...text, createModel: () => createSessionModel(`sessions, ${text.name}`, DEFAULT_SCOPE, {...SESSION_RULES, ...change})};
}

const MUTANTS: readonly Mutant[] = [
	createMutant({name: 'answer-not-checked', rule: 'the point of an answer is checked before it is released', code: 'postgres/request-routing.ts isResponseFreshEnough'}, {
		isResponseReleased: () => true,
	}),
	createMutant({name: 'position-without-term', rule: 'positions are compared within one history', code: 'core/position.ts isIncluded'}, {
		isResponseReleased: (point, required) => point.position >= required.position,
	}),
	createMutant({name: 'missing-term-proves', rule: 'a term whose start is unknown proves nothing', code: 'core/position.ts isSurviving'}, {
		isResponseReleased: (point, required, termStarts) => point.position >= required.position && point.term >= required.term
			&& termStarts.filter(start => start.term > required.term && start.term <= point.term).every(start => start.start >= required.position),
	}),
	createMutant({name: 'lost-by-any-term', rule: 'a write is lost only if a later term began before it', code: 'core/position.ts isSurviving'}, {
		decideRoute(input) {
			const {required} = input.need;
			return required && required.term < input.group.term ? {kind: 'refuse', reason: 'write_lost'} : decideRoute(input);
		},
	}),
	createMutant({name: 'answer-without-reach', rule: 'an answer reaches the position of the token', code: 'core/position.ts isIncluded'}, {
		isResponseReleased: (point, required, termStarts) => isSurviving(required, Math.max(point.term, required.term), termStarts) || isIncluded(point, required, termStarts),
	}),
];

/** Sessions: a session reads its own writes, or is told that they were lost. */
export const SESSION_SPECIFICATION: Specification = {
	name: 'sessions',
	invariants: Object.values(SESSION_INVARIANTS),
	createModels: size => [createSessionModel('sessions', size === 'default' ? DEFAULT_SCOPE : LARGE_SCOPE, SESSION_RULES)],
	mutants: MUTANTS,
};
