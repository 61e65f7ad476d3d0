/** SQLSTATEs that the proxy raises or checks. Class `HP` is specific to heatherpond; the others are PostgreSQL's. */
export const SQL_STATE = {
	/** The request was not sent to any database; the hint names the retry delay. */
	notRun: 'HP001',
	/** It is unknown whether the request was executed. */
	outcomeUnknown: 'HP002',
	/** A write of this session was lost in a failover. */
	writeLost: 'HP003',
	/** The session token refers to a term that this host has not seen yet. */
	futureToken: 'HP004',
	/** The session token is damaged or was not issued by heatherpond. */
	invalidToken: 'HP005',
	/** The team has exhausted its rate and burst; the request was not run. */
	overRate: 'HP006',
	/** A read was sent to a database that did not respond; it changed nothing and can be repeated. */
	readUnanswered: 'HP007',
	/** Notice: the request with this idempotency key has already run. */
	alreadyRun: 'HP008',
	/** The idempotency key was used for another request. */
	idempotencyKeyReused: 'HP009',
	/** The session token names a group that does not exist in this deployment. */
	unknownTokenGroup: 'HP010',
	invalidPassword: '28P01',
	invalidAuthorization: '28000',
	unknownDatabase: '3D000',
	notSupported: '0A000',
	invalidParameter: '22023',
	protocolViolation: '08P01',
	invalidEncoding: '22021',
	adminShutdown: '57P01',
	queryCanceled: '57014',
	idleTimeout: '57P05',
	tooManyConnections: '53300',
	readOnlyTransaction: '25006',
	internalError: 'XX000',
	failedTransaction: '25P02',
	idleInTransaction: '25P03',
	connectionFailure: '08006',
	unknownStatement: '26000',
	unknownPortal: '34000',
	duplicateStatement: '42P05',
	undefinedTable: '42P01',
	syntaxError: '42601',
	tooManyStatements: '53400',
	limitExceeded: '54000',
} as const;
