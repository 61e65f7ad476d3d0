import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {expect, test} from '@jest/globals';

/** Sources that run on the hosts of a deployment. */
const ROOT = fileURLToPath(new URL('../../../../..', import.meta.url));
const SOURCES = ['packages/heatherpond-session/src', 'packages/heatherpond-fleet/src', 'platform/src'];
/** Names of deployments, of their services and of the days that are played on them. */
const NAMES = /kysc|kringloop|inamp|instituto|pastos|savings|sponsorship|umoja|hojarasca|fleetbench|\b(?:quiet|trouble|scale)-\d/iv;

test('no decision of a host depends on the name of a deployment or of a day', () => {
	const files = SOURCES.flatMap(folder => readdirSync(path.join(ROOT, folder)).filter(name => name.endsWith('.ts')).map(name => path.join(ROOT, folder, name)));
	expect(files.length).toBeGreaterThan(90);
	expect(files.filter(file => NAMES.test(readFileSync(file, 'utf8')))).toEqual([]);
});
