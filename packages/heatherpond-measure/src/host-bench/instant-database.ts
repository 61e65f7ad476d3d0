/** Connections to databases that answer every statement at once, so that a measurement shows what the host itself takes. */
import type {Upstream} from 'heatherpond-fleet';
import type {UpstreamCommand, UpstreamConnection, UpstreamResponse} from 'heatherpond-session';

/** Decides how many of the next statements are refused as if the database were busy. */
export type InstantDatabases = {
	readonly openConnection: (upstream: Upstream, team: string) => UpstreamConnection;
	/** Refuses the next statement once. */
	readonly refuseNext: () => void;
};

const SUCCESS: UpstreamResponse = {body: 'COMPLETE 1\r\n', outcome: {kind: 'complete'}, state: 'idle'};
const REFUSAL: UpstreamResponse = {body: 'ERROR BUSY\r\n', outcome: {kind: 'error', code: 'busy'}, state: 'idle'};

/** Creates the databases. */
export function createInstantDatabases(): InstantDatabases {
	let isNextRefused = false;

	function createResponse({kind}: UpstreamCommand): UpstreamResponse {
		if (kind !== 'forward' || !isNextRefused) {
			return SUCCESS;
		}

		isNextRefused = false;
		return REFUSAL;
	}

	return {
		openConnection({id}, team) {
			let isOpen = true;
			return {
				database: id,
				team,
				exchange: async commands => commands.map(createResponse),
				isOpen: () => isOpen,
				destroy() {
					isOpen = false;
				},
				registerCloseListener: () => undefined,
			};
		},
		refuseNext() {
			isNextRefused = true;
		},
	};
}
