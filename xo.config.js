/** XO formats and lints; the rules below give way to the house style (docs/STYLE.md). */
const verbs = [
	'acquire',
	'advance',
	'answer',
	'append',
	'apply',
	'ask',
	'call',
	'check',
	'classify',
	'close',
	'collect',
	'compare',
	'convert',
	'count',
	'create',
	'decide',
	'decode',
	'destroy',
	'encode',
	'end',
	'evaluate',
	'exchange',
	'execute',
	'explore',
	'fail',
	'fetch',
	'find',
	'format',
	'forward',
	'handle',
	'has',
	'hold',
	'insert',
	'is',
	'measure',
	'notify',
	'open',
	'order',
	'parse',
	'prove',
	'read',
	'record',
	'refuse',
	'register',
	'release',
	'remove',
	'render',
	'renew',
	'request',
	'reserve',
	'resolve',
	'respond',
	'retry',
	'run',
	'schedule',
	'select',
	'send',
	'start',
	'stop',
	'submit',
	'take',
	'update',
	'use',
	'wait',
	'write',
];

/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', '**/generated/**', 'reports/**']},
	{
		rules: {
			'unicorn/no-array-for-each': 'off',
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/prevent-abbreviations': 'off',
			// Protocol and control loops take one step after the other on purpose.
			'no-await-in-loop': 'off',
			'no-constant-condition': ['error', {checkLoops: false}],
			'no-restricted-syntax': ['error', {
				selector: `FunctionDeclaration[id.name!=/^(${verbs.join('|')})([A-Z]|$)/]`,
				message: 'A function begins with a verb from the list in docs/STYLE.md.',
			}],
		},
	},
	{
		files: ['**/*.ts'],
		rules: {
			// What is left over is handled by the default branch.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/only-throw-error': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/prefer-promise-reject-errors': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Sockets and the protocol library speak Buffer, and its integer reads have no kin on Uint8Array.
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		// The program is bundled as CommonJS, and ends itself when the platform says so.
		files: ['platform/src/main.ts', 'platform/src/shutdown.ts'],
		rules: {
			'unicorn/prefer-top-level-await': 'off',
			'unicorn/no-process-exit': 'off',
		},
	},
	{
		files: ['platform/bundle.js'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		// Tools of the whole workspace are dependencies of its root.
		files: ['**/__tests__/**/*.ts'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		// The SQL parser's tree has no types.
		files: ['packages/heatherpond-standin/src/sql-*.ts', 'packages/heatherpond-standin/src/database-session.ts', 'packages/heatherpond-postgres/src/classify*.ts'],
		rules: {
			'@typescript-eslint/no-unsafe-argument': 'off',
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'@typescript-eslint/no-unsafe-member-access': 'off',
			'@typescript-eslint/no-unsafe-return': 'off',
		},
	},
];

export default config;
