/** Values, rows and table definitions. */

/** A value; `null` represents NULL. */
export type SqlValue = string | number | boolean | null;

/** Values of a row by column name. */
export type SqlRow = Readonly<Record<string, SqlValue>>;

/** Definition of a table. `keyColumn` is the primary key; composite keys are not supported. */
export type TableDefinition = {
	readonly name: string;
	readonly columns: readonly ColumnDefinition[];
	readonly keyColumn: string;
};

/** Definition of a column. All numeric types are treated as integer, all others as text. */
export type ColumnDefinition = {
	readonly name: string;
	readonly type: 'text' | 'integer';
};

/** Object ids of the types used in results. */
export const TYPE_ID = {text: 25, integer: 20, boolean: 16} as const;
