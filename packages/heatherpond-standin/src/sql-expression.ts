/** Evaluates expressions of the SQL subset on the parser's syntax tree. */
import {StatementError} from './standin-error.js';
import type {SqlRow, SqlValue} from './sql-row.js';

/** A node of the parser's syntax tree, which has no types. */
export type SqlNode = Readonly<Record<string, any>>;

/** Values and functions that an expression may refer to. */
export type EvaluationScope = {
	/** Values of the parameters `$1`, `$2` and so on. */
	readonly parameters: readonly SqlValue[];
	/** Current row; absent in statements without a table. */
	readonly row?: SqlRow;
	/** Row proposed for insertion, available as `excluded` in ON CONFLICT DO UPDATE. */
	readonly excluded?: SqlRow;
	readonly callFunction: (name: string, args: readonly SqlValue[]) => SqlValue;
};

/** Creates the error for a construct outside of the SQL subset. */
function createUnsupportedError(what: string): Error {
	return new StatementError(`the stand-in does not support ${what}`, {props: {sqlState: '0A000'}});
}

/** Evaluates one expression. */
export function evaluateExpression(node: SqlNode, scope: EvaluationScope): SqlValue {
	const [kind, body] = Object.entries(node)[0] as [string, SqlNode];
	switch (kind) {
		case 'A_Const': {
			return evaluateConstant(body);
		}

		case 'ParamRef': {
			return scope.parameters[body.number - 1] ?? null;
		}

		case 'ColumnRef': {
			return evaluateColumn(body, scope);
		}

		case 'TypeCast': {
			return evaluateCast(body, scope);
		}

		case 'A_Expr': {
			return evaluateOperator(body, scope);
		}

		case 'BoolExpr': {
			return evaluateLogic(body, scope);
		}

		case 'NullTest': {
			const isNull = evaluateExpression(body.arg, scope) === null;
			return body.nulltesttype === 'IS_NULL' ? isNull : !isNull;
		}

		case 'FuncCall': {
			const name = body.funcname.at(-1).String.sval as string;
			return scope.callFunction(name, ((body.args ?? []) as SqlNode[]).map(argument => evaluateExpression(argument, scope)));
		}

		default: {
			throw createUnsupportedError(`the expression ${kind}`);
		}
	}
}

function evaluateConstant(body: SqlNode): SqlValue {
	if (body.isnull) {
		return null;
	}

	if (body.ival) {
		return body.ival.ival ?? 0;
	}

	if (body.fval) {
		return Number(body.fval.fval);
	}

	if (body.boolval) {
		return body.boolval.boolval ?? false;
	}

	return body.sval?.sval ?? '';
}

function evaluateColumn(body: SqlNode, scope: EvaluationScope): SqlValue {
	const names = (body.fields as SqlNode[]).map(field => field.String?.sval as string);
	const row = names.length > 1 && names[0] === 'excluded' ? scope.excluded : scope.row;
	const value = row?.[names.at(-1)!];
	if (value === undefined) {
		throw new StatementError(`column "${names.at(-1)}" does not exist`, {props: {sqlState: '42703'}});
	}

	return value;
}

/** Types whose values are represented as numbers. */
const INTEGER_TYPES = new Set(['int2', 'int4', 'int8', 'numeric', 'float8']);

/** Evaluates a type cast; types other than boolean and the numeric ones are treated as text. */
function evaluateCast(body: SqlNode, scope: EvaluationScope): SqlValue {
	const value = evaluateExpression(body.arg, scope);
	const type = body.typeName.names.at(-1).String.sval as string;
	if (value === null) {
		return null;
	}

	if (type === 'bool') {
		return value === true || value === 't' || value === 'true';
	}

	return INTEGER_TYPES.has(type) ? convertToNumber(value) : String(value);
}

function convertToNumber(value: SqlValue): number {
	const number = Number(value);
	if (Number.isNaN(number)) {
		throw new StatementError(`invalid input syntax for type bigint: "${value}"`, {props: {sqlState: '22P02'}});
	}

	return number;
}

/** Compares two values for sorting: numerically if at least one is a number, otherwise as text. */
export function compareValues(left: SqlValue, right: SqlValue): number {
	if (typeof left === 'number' || typeof right === 'number') {
		return Number(left) - Number(right);
	}

	const leftText = String(left);
	const rightText = String(right);
	if (leftText === rightText) {
		return 0;
	}

	return leftText < rightText ? -1 : 1;
}

/** Evaluates a binary operator, IN or BETWEEN. Operators yield NULL if an operand is NULL. */
function evaluateOperator(body: SqlNode, scope: EvaluationScope): SqlValue {
	const left = evaluateExpression(body.lexpr, scope);
	if (body.kind === 'AEXPR_IN' || body.kind === 'AEXPR_BETWEEN') {
		const values = (body.rexpr.List.items as SqlNode[]).map(item => evaluateExpression(item, scope));
		return body.kind === 'AEXPR_IN' ? values.some(value => compareValues(left, value) === 0) : compareValues(left, values[0]!) >= 0 && compareValues(left, values[1]!) <= 0;
	}

	const right = evaluateExpression(body.rexpr, scope);
	return left === null || right === null ? null : applyOperator(body.name.at(-1).String.sval as string, left, right);
}

function applyOperator(operator: string, left: SqlValue, right: SqlValue): SqlValue {
	switch (operator) {
		case '=': {
			return compareValues(left, right) === 0;
		}

		case '<>': {
			return compareValues(left, right) !== 0;
		}

		case '<': {
			return compareValues(left, right) < 0;
		}

		case '<=': {
			return compareValues(left, right) <= 0;
		}

		case '>': {
			return compareValues(left, right) > 0;
		}

		case '>=': {
			return compareValues(left, right) >= 0;
		}

		case '||': {
			return `${left}${right}`;
		}

		case '+': {
			return convertToNumber(left) + convertToNumber(right);
		}

		case '-': {
			return convertToNumber(left) - convertToNumber(right);
		}

		case '*': {
			return convertToNumber(left) * convertToNumber(right);
		}

		default: {
			throw createUnsupportedError(`the operator ${operator}`);
		}
	}
}

/** Evaluates AND, OR and NOT; NULL operands count as false. */
function evaluateLogic(body: SqlNode, scope: EvaluationScope): SqlValue {
	const values = (body.args as SqlNode[]).map(argument => evaluateExpression(argument, scope) === true);
	switch (body.boolop) {
		case 'AND_EXPR': {
			return values.every(Boolean);
		}

		case 'OR_EXPR': {
			return values.some(Boolean);
		}

		default: {
			return !values[0];
		}
	}
}
