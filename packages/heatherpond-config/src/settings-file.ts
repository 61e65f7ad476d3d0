/** Reads TOML settings files and validates them against a schema. */
import {readFile} from 'node:fs/promises';
import {parse} from 'smol-toml';
import type {z} from 'zod';
import {SettingsError} from './settings-error.js';

/**
 * Reads and validates a TOML file.
 *
 * @throws SettingsError with the file, key path, value and allowed values of every invalid setting
 */
export async function readSettingsFile<Schema extends z.ZodType>(path: string, schema: Schema): Promise<z.output<Schema>> {
	const text = await readFile(path, 'utf8').catch((error: unknown) => {
		throw new SettingsError(`${path}: the file cannot be read`, {cause: error});
	});
	return parseSettings(path, text, schema);
}

/**
 * Parses and validates the text of a TOML file.
 *
 * @param path - name of the file for error messages
 * @throws SettingsError with the file, key path, value and allowed values of every invalid setting
 */
export function parseSettings<Schema extends z.ZodType>(path: string, text: string, schema: Schema): z.output<Schema> {
	const value = parseToml(path, text);
	const result = schema.safeParse(value);
	if (!result.success) {
		throw new SettingsError(result.error.issues.flatMap(issue => formatIssue(path, value, issue, schema)).join('\n'));
	}

	return result.data;
}

function parseToml(path: string, text: string): unknown {
	try {
		return parse(text);
	} catch (error) {
		throw new SettingsError(`${path}: the file is not valid TOML:`, {cause: error});
	}
}

/** Longer values are truncated in error messages. */
const MAX_VALUE_LENGTH = 100;

/** Formats an issue as lines with the file, key path, value and allowed values. */
function formatIssue(path: string, value: unknown, issue: z.core.$ZodIssue, schema: z.ZodType): readonly string[] {
	if (issue.code === 'unrecognized_keys') {
		const allowed = findAllowedKeys(schema, issue.path).join(', ');
		return issue.keys.map(key => formatLocatedIssue(path, value, [...issue.path, key], `allowed keys: ${allowed}`));
	}

	return [formatLocatedIssue(path, value, issue.path, issue.message)];
}

function formatLocatedIssue(path: string, value: unknown, keys: readonly PropertyKey[], message: string): string {
	const location = keys.length === 0 ? 'the file' : keys.map(String).join('.');
	const found = keys.reduce<unknown>((part, key) => typeof part === 'object' && part !== null ? (part as Record<PropertyKey, unknown>)[key] : undefined, value);
	const text = found === undefined ? 'no value' : `the value ${formatValue(found)}`;
	return `${path}: ${location} has ${text}: ${message}`;
}

function formatValue(value: unknown): string {
	const text = JSON.stringify(value, (_key, part: unknown) => typeof part === 'bigint' ? String(part) : part);
	return text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}...` : text;
}

/** Parts of a schema definition in which a key path is looked up. */
type SchemaDefinition = {readonly innerType?: z.ZodType; readonly element?: z.ZodType; readonly shape?: Readonly<Record<string, z.ZodType>>};

function readSchemaDefinition(schema: z.ZodType): SchemaDefinition {
	return schema._zod.def as SchemaDefinition;
}

/** Finds the keys that a schema allows at a key path. */
function findAllowedKeys(schema: z.ZodType, path: readonly PropertyKey[]): readonly string[] {
	const definition = readSchemaDefinition(schema);
	if (definition.innerType) {
		return findAllowedKeys(definition.innerType, path);
	}

	const [key, ...rest] = path;
	if (key === undefined) {
		return Object.keys(definition.shape ?? {});
	}

	const inner = definition.element ?? definition.shape?.[String(key)];
	return inner ? findAllowedKeys(inner, rest) : [];
}
