/** Date literals, which PostgreSQL reads when it parses a statement, in the order of day and month that DateStyle gives. */
import type {SqlNode} from './sql-expression.js';

const DATE_PATTERN = /^(?<first>\d{2})\/(?<second>\d{2})\/(?<year>\d{4})$/v;

/** Replaces the date literals of a statement by their value in ISO format. */
export function resolveDateLiterals(node: SqlNode, dateStyle: string): SqlNode {
	const isDayFirst = /dmy|european/iv.test(dateStyle);

	function resolveValue(value: unknown): unknown {
		if (Array.isArray(value)) {
			return value.map(item => resolveValue(item));
		}

		if (typeof value !== 'object' || value === null) {
			return value;
		}

		return isDateCast(value) ? resolveCast(value as SqlNode) : Object.fromEntries(Object.entries(value).map(([key, item]) => [key, resolveValue(item)]));
	}

	function resolveCast(cast: SqlNode): SqlNode {
		const text = String(cast.TypeCast.arg.A_Const.sval.sval);
		const groups = DATE_PATTERN.exec(text)?.groups;
		const [day, month] = isDayFirst ? [groups?.first, groups?.second] : [groups?.second, groups?.first];
		const sval = groups ? `${groups.year}-${month}-${day}` : text;
		return {TypeCast: {...cast.TypeCast, arg: {A_Const: {sval: {sval}}}}};
	}

	return resolveValue(node) as SqlNode;
}

function isDateCast(value: SqlNode): boolean {
	return value.TypeCast?.typeName?.names?.at(-1)?.String?.sval === 'date' && value.TypeCast.arg?.A_Const?.sval !== undefined;
}
