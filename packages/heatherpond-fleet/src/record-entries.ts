/** Finds the entry of a record; a name that all objects inherit, such as `constructor`, is found only if the record holds it. */
export function findEntry<Value>(record: Readonly<Record<string, Value>>, name: string): Value | undefined {
	return Object.hasOwn(record, name) ? record[name] : undefined;
}
