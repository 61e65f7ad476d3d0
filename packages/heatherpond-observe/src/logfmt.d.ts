/** Type declarations for the parts of the logfmt library that are used here. */
declare module 'logfmt' {
	const logfmt: {
		readonly stringify: (data: object) => string;
		readonly parse: (line: string) => Record<string, string | boolean | null>;
	};
	export default logfmt;
}
