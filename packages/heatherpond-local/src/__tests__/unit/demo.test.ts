import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {createSystemClock} from 'heatherpond-core';
import pg from 'pg';
import {demoDescriptionSchema, startDemo, type DemoDescription} from '../../demo.js';
import {PLANS} from '../../deployment-plan.js';

const stops: AbortController[] = [];

afterEach(() => {
	stops.forEach(stop => {
		stop.abort();
	});
});

async function runDemo(name: keyof typeof PLANS): Promise<readonly string[]> {
	const stop = new AbortController();
	stops.push(stop);
	const lines: string[] = [];
	await startDemo({
		plan: PLANS[name],
		clock: createSystemClock(),
		writeLine(line) {
			lines.push(line);
		},
		signal: stop.signal,
	});
	return lines;
}

/** Writes and reads a row as the printed description says. */
async function useSchema({proxies, keys, routes, schema}: DemoDescription): Promise<string | undefined> {
	const [user, password] = Object.entries(keys)[1]!;
	const client = new pg.Client({
		host: proxies[0]!.host, port: proxies[0]!.port, user, password, database: routes.find(route => !route.open)!.database,
	});
	await client.connect();
	try {
		await client.query(schema.insert, ['key', 'put']);
		const result = await client.query<{value: string}>(schema.select, ['key']);
		return result.rows[0]?.value;
	} finally {
		await client.end();
	}
}

describe.each(['kringloop', 'instituto'] as const)('the demo of the deployment %s', name => {
	test('prints its description as JSON on the last line only, and clients can connect with it', async () => {
		const lines = await runDemo(name);
		const described = lines.filter(line => line.includes('"ready":true'));
		expect(described).toEqual([lines.at(-1)]);
		const description = demoDescriptionSchema.parse(JSON.parse(described[0]!));
		expect(description.proxies.map(proxy => proxy.domain)).toEqual(PLANS[name].domains);
		expect(Object.keys(description.keys).length).toBeGreaterThanOrEqual(2);
		expect(new Set(description.routes.map(route => route.group)).size).toBe(3);
		expect(await useSchema(description)).toBe('put');
	});
});
