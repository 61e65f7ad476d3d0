/** XO formats and lints the code; the rules below differ from its defaults as described in docs/STYLE.md. */
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
	'compute',
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
			// Protocol exchanges and control loops are sequential by design.
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
			// A default branch counts as handling all remaining cases.
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true}],
			'@typescript-eslint/strict-void-return': 'off',
			'@typescript-eslint/only-throw-error': 'off',
			'@typescript-eslint/naming-convention': 'off',
			'@typescript-eslint/prefer-promise-reject-errors': 'off',
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Sockets and the protocol library use Buffer, and Uint8Array has no equivalent of its integer readers.
			'@typescript-eslint/no-restricted-types': 'off',
		},
	},
	{
		// The program is bundled as CommonJS, which has no top-level await, and exits itself on SIGTERM.
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
		// The syntax tree of the SQL parser is untyped.
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
