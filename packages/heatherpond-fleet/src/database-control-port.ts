/** Ports for status requests to databases and for the control of their roles. */
import type {Deadline, LogPosition} from 'heatherpond-core';
import type {Upstream} from './upstream.js';

/** Status that a database reports. */
export type DatabaseStatus = {
	readonly isPrimary: boolean;
	readonly term: number;
	/** Last position of its log. */
	readonly point: LogPosition;
};

/** Sends status and control requests to databases, each on a new connection. */
export type DatabaseControlPort = {
	/** Rejects when the database does not respond by the deadline. */
	readonly requestStatus: (upstream: Upstream, deadline: Deadline) => Promise<DatabaseStatus>;
	/** Demotes a primary of a lower term to a replica; resolves to its status afterwards. */
	readonly requestStepDown: (upstream: Upstream, term: number, deadline: Deadline) => Promise<DatabaseStatus>;
};

/** Request to promote a database to the primary of its group. */
export type PromotionRequest = {
	readonly group: string;
	readonly database: string;
	/** Host that holds the promotion lease. */
	readonly holder: string;
	/** Fencing token of the promotion lease. */
	readonly fence: number;
};

/** Port to the platform service that carries out promotions. */
export type PromotionRequestPort = {
	/** Resolves to whether the request was accepted: false when the database is not running. Rejects when the outcome is unknown. */
	readonly requestPromotion: (order: PromotionRequest, deadline: Deadline) => Promise<boolean>;
};
