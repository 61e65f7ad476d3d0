/** Committed tables of one database, changed only by applying log records. */
import type {Effect} from './log-record.js';
import type {SqlRow, TableDefinition} from './sql-row.js';

/** A table with its rows by key. */
export type SqlTable = {
	readonly definition: TableDefinition;
	readonly rows: ReadonlyMap<string, SqlRow>;
};

/** All tables of a database. */
export type TableStore = {
	readonly findTable: (name: string) => SqlTable | undefined;
	/** Applies one change; changes to rows of an unknown table are ignored. */
	readonly apply: (effect: Effect) => void;
	/** Removes all tables, so that the log can be replayed. */
	readonly reset: () => void;
};

type MutableTable = {definition: TableDefinition; rows: Map<string, SqlRow>};

/** Creates an empty store. */
export function createTableStore(): TableStore {
	const tables = new Map<string, MutableTable>();
	return {
		findTable: name => tables.get(name),
		apply(effect) {
			switch (effect.kind) {
				case 'createTable': {
					tables.set(effect.table.name, {definition: effect.table, rows: new Map()});
					break;
				}

				case 'putRow': {
					tables.get(effect.table)?.rows.set(effect.key, effect.row);
					break;
				}

				case 'deleteRow': {
					tables.get(effect.table)?.rows.delete(effect.key);
					break;
				}
			}
		},
		reset() {
			tables.clear();
		},
	};
}
