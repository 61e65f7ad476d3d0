import {describe, expect, test} from '@jest/globals';
import {findRequestExplanation, parseLogLines} from '../../index.js';

const LOG = `
  27.0413 front-1 time=2026-07-09T18:45:21.041Z level=info event=limit_reached host=front-1 domain=a team=dacu rate=24 share=0.22 asked=23.09 asked_elsewhere=81.5
  27.0428 front-1 time=2026-07-09T18:45:21.042Z level=info event=statement_refused host=front-1 domain=a request=r1 session=s-1 route=shop team=dacu group=g code=busy reason="the team is over its rate" retry_after_ms=5000
time=2026-07-09T18:45:30.000Z level=info event=primary_suspected host=front-2 domain=b group=g database=db-1 term=1
time=2026-07-09T18:45:30.100Z level=info event=promotion_due host=front-2 domain=b group=g primary=db-1 term=1 reason=silent fence=3
time=2026-07-09T18:45:30.200Z level=info event=statement_refused host=front-1 domain=a request=r2 session=s-2 route=shop team=dacu group=g code=in_doubt reason="the answer to a write was lost: silent"
time=2026-07-09T18:45:30.300Z level=info event=statement_refused host=front-1 domain=a request=r3 session=s-3 route=shop team=dacu group=g code=busy reason="the group has no proven primary" retry_after_ms=300
time=2026-07-09T18:45:40.000Z level=info event=attempt_failed host=front-1 domain=a request=r4 database=db-2 outcome=lost reason=silent attempt=1
time=2026-07-09T18:45:40.500Z level=info event=statement_refused host=front-1 domain=a request=r4 session=s-4 route=shop team=dacu group=g code=busy reason="no database answered in time: silent"
time=2026-07-09T18:45:50.000Z level=info event=table_lost host=front-3 domain=a table=op reason="the store did not answer"
time=2026-07-09T18:45:54.000Z level=info event=statement_refused host=front-3 domain=a request=r5 session=s-5 route=shop code=busy reason="the contracts cannot be verified at the moment"
time=2026-07-09T18:46:00.000Z level=info event=host_started host=front-4 domain=a incarnation=x
time=2026-07-09T18:46:00.400Z level=info event=statement_refused host=front-4 domain=a request=r6 session=s-6 route=shop team=dacu group=h code=busy reason="the group has no proven primary"
nonsense without an event
`;

describe('explanation of a request from log lines', () => {
	const lines = parseLogLines(LOG);

	test.each([
		['r1', /over its limit: rate 24 per second, share of this domain 0\.22, requested here 23\.09, in other domains 81\.5; told to retry after 5000 ms/v],
		['r2', /outcome is unknown.*around a promotion of g \(silent\)/v],
		['r3', /no proven primary: promotion of g was in progress \(silent\)/v],
		['r4', /1 attempts failed, the last one at db-2 \(silent\)/v],
		['r6', /on this host, which had started 400 ms earlier/v],
		['r5', /could not verify the contracts, since table_lost/v],
	])('names the cause of the outcome of %s', (request, cause) => {
		expect(findRequestExplanation(lines, request)?.cause).toMatch(cause);
	});

	test('includes the related lines in order, and no others', () => {
		expect(findRequestExplanation(lines, 'r3')!.steps.map(({relation, line: {event}}) => `${relation} ${event}`)).toEqual(['group primary_suspected', 'group promotion_due', 'request statement_refused']);
	});

	test('includes only the latest three lines about the limit of the team', () => {
		const limit = LOG.split('\n').find(line => line.includes('limit_reached'))!;
		const many = parseLogLines([...Array.from({length: 20}).map(() => limit), LOG].join('\n'));
		expect(findRequestExplanation(many, 'r1')!.steps.filter(({relation}) => relation === 'team')).toHaveLength(3);
	});

	test('is undefined for a request whose id is in no line', () => {
		expect(findRequestExplanation(lines, 'unknown')).toBeUndefined();
	});

	test('ignores lines without an event', () => {
		expect(lines).toHaveLength(12);
	});
});
