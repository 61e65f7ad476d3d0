/** Runs the TypeScript sources as ES modules, and resolves workspace packages to their sources instead of their builds. */
const config = {
	testEnvironment: 'node',
	// Tests wait for conditions; this timeout only ends a test whose condition is never met.
	testTimeout: 60_000,
	testMatch: ['<rootDir>/packages/*/src/**/__tests__/**/*.test.ts', '<rootDir>/platform/src/**/__tests__/**/*.test.ts'],
	extensionsToTreatAsEsm: ['.ts'],
	modulePathIgnorePatterns: ['/dist/'],
	transform: {
		'\\.ts$': ['@swc/jest', {
			jsc: {target: 'es2022', parser: {syntax: 'typescript'}},
			module: {type: 'es6'},
		}],
	},
	moduleNameMapper: {
		// Jest cannot load the ES module versions that cmd-ts requires; these are the last CommonJS releases.
		'^chalk$': '<rootDir>/node_modules/chalk',
		'^strip-ansi$': '<rootDir>/node_modules/strip-ansi-cjs',
		'^(heatherpond-[a-z]+)$': '<rootDir>/packages/$1/src/index.ts',
		'^(\\.{1,2}/.*)\\.js$': '$1',
	},
};

export default config;
