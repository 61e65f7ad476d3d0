/** Message types, startup codes and transaction states of the PostgreSQL protocol, version 3.0. */

/** Returns the byte of an ASCII character. */
function convertLetter(letter: string): number {
	return letter.codePointAt(0)!;
}

/** Type bytes of the messages that a client sends. */
export const FRONTEND = {
	bind: convertLetter('B'),
	close: convertLetter('C'),
	copyData: convertLetter('d'),
	copyDone: convertLetter('c'),
	copyFail: convertLetter('f'),
	describe: convertLetter('D'),
	execute: convertLetter('E'),
	flush: convertLetter('H'),
	functionCall: convertLetter('F'),
	parse: convertLetter('P'),
	password: convertLetter('p'),
	query: convertLetter('Q'),
	sync: convertLetter('S'),
	terminate: convertLetter('X'),
} as const;

/** Type bytes of the messages that a server sends. */
export const BACKEND = {
	authentication: convertLetter('R'),
	backendKeyData: convertLetter('K'),
	bindComplete: convertLetter('2'),
	closeComplete: convertLetter('3'),
	commandComplete: convertLetter('C'),
	copyInResponse: convertLetter('G'),
	copyOutResponse: convertLetter('H'),
	dataRow: convertLetter('D'),
	emptyQueryResponse: convertLetter('I'),
	errorResponse: convertLetter('E'),
	noData: convertLetter('n'),
	noticeResponse: convertLetter('N'),
	notification: convertLetter('A'),
	parameterDescription: convertLetter('t'),
	parameterStatus: convertLetter('S'),
	parseComplete: convertLetter('1'),
	portalSuspended: convertLetter('s'),
	readyForQuery: convertLetter('Z'),
	rowDescription: convertLetter('T'),
} as const;

/** First field of a startup message: the protocol version, or the code of a special request. */
export const STARTUP_CODE = {
	protocol3: 196_608,
	cancel: 80_877_102,
	ssl: 80_877_103,
	gssEncryption: 80_877_104,
} as const;

/** Transaction status in ReadyForQuery: idle, in a transaction, or in a failed transaction. */
export type TransactionStatus = 'I' | 'T' | 'E';
