import {describe, expect, test} from '@jest/globals';
import {createPositionTracker} from 'heatherpond-session';
import {computeOthersUsage, countTeamDemand} from '../../remote-usage.js';
import {applyReportedPositions} from '../../shared-positions.js';

/** Names that every object has without holding them. */
const INHERITED_NAMES = ['constructor', 'toString', '__proto__', 'hasOwnProperty'];

describe('a report that does not name a team, database or host', () => {
	// Guards against limits that are no numbers, and reports that cannot be handled, because of a name that all objects inherit.
	test.each(INHERITED_NAMES)('says nothing of it when it is called "%s"', name => {
		expect(countTeamDemand([{teams: {}}, {teams: {other: 2}}], name)).toBe(0);
		const usage = {isVerified: true, teams: {}, databases: JSON.parse(`{"${name}":[3,4]}`) as Record<string, [number, number]>};
		expect(Object.entries(computeOthersUsage(usage, {isVerified: true, teams: {}, databases: {}}).databases)).toEqual([[name, [3, 4]]]);
		expect(() => {
			applyReportedPositions({echoes: {}, positions: {}}, name, () => 5, createPositionTracker());
		}).not.toThrow();
	});
});
