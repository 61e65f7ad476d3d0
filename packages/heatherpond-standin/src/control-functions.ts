/** SQL functions with which hosts read a database's status and request fencing, promotion and replication. */
import type {SessionOptions} from './database-session.js';
import type {SqlValue} from './sql-row.js';
import {StatementError} from './standin-error.js';

/** Names of the control functions. */
const CONTROL_FUNCTIONS = new Set(['heatherpond_status', 'heatherpond_raise_term', 'heatherpond_promote', 'heatherpond_follow']);

/** Whether a function is a control function, which only control users may call. */
export function isControlFunction(name: string): boolean {
	return CONTROL_FUNCTIONS.has(name);
}

/** Executes a control function and returns the resulting database status as JSON text. */
export function executeControl(name: string, args: readonly SqlValue[], {group, member}: SessionOptions): SqlValue {
	const {database} = member;
	const status = (() => {
		switch (name) {
			case 'heatherpond_raise_term': {
				return database.raiseTerm(Number(args[0]), String(args[1]));
			}

			case 'heatherpond_promote': {
				return database.promote(Number(args[0]), String(args[1]));
			}

			case 'heatherpond_follow': {
				const primary = String(args[0]);
				return database.follow(primary, Number(args[1]), group.findReachableDatabase(database.name, primary)?.readHistory());
			}

			case 'heatherpond_status': {
				return database.readStatus();
			}

			default: {
				throw new StatementError(`function ${name} does not exist`, {props: {sqlState: '42883'}});
			}
		}
	})();
	return JSON.stringify({...status, last: {term: status.last.term, position: String(status.last.position)}});
}
