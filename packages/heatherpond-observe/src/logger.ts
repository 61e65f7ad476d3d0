/** Logger that writes one logfmt line for each event. */
import process from 'node:process';
import log, {type LogLevelDesc} from 'loglevel';
import {formatLineFields} from './line-fields.js';

/** Logger of one process. */
export type Logger = {
	readonly info: (event: string, fields: LogFields) => void;
	readonly warn: (event: string, fields: LogFields) => void;
	readonly error: (event: string, fields: LogFields) => void;
	readonly debug: (event: string, fields: LogFields) => void;
	/** Checks whether lines of a level are written, so that expensive fields need not be computed in vain. */
	readonly isEnabled: (level: LogLevel) => boolean;
};

/** Log levels of lines. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Fields of a log line; those that are `undefined` are omitted. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Options of a logger. */
export type LoggerOptions = {
	readonly host: string;
	readonly domain: string;
	/** Lines below this level are not written. */
	readonly level: LogLevelDesc;
	/** Receives each formatted line; writes to standard error by default. */
	readonly writeLine?: (line: string) => void;
};

/** Creates a logger. */
export function createLogger(options: LoggerOptions): Logger {
	const logger = log.getLogger(`${options.domain}/${options.host}`);
	const writeLine = options.writeLine ?? ((line: string) => {
		process.stderr.write(`${line}\n`);
	});
	logger.methodFactory = () => (line: string) => {
		writeLine(line);
	};

	logger.setLevel(options.level, false);
	const currentLevel = logger.getLevel();

	function formatLine(level: string, event: string, fields: LogFields): string {
		return formatLineFields({
			time: new Date().toISOString(), level, event, host: options.host, domain: options.domain, ...removeUndefinedFields(fields),
		});
	}

	function isEnabled(level: LogLevel): boolean {
		return currentLevel <= LEVELS[level];
	}

	function writeEvent(level: LogLevel, event: string, fields: LogFields): void {
		if (isEnabled(level)) {
			logger[level](formatLine(level, event, fields));
		}
	}

	return {
		info(event, fields) {
			writeEvent('info', event, fields);
		},
		warn(event, fields) {
			writeEvent('warn', event, fields);
		},
		error(event, fields) {
			writeEvent('error', event, fields);
		},
		debug(event, fields) {
			writeEvent('debug', event, fields);
		},
		isEnabled,
	};
}

const LEVELS: Readonly<Record<LogLevel, number>> = {
	debug: log.levels.DEBUG, info: log.levels.INFO, warn: log.levels.WARN, error: log.levels.ERROR,
};

function removeUndefinedFields(fields: LogFields): LogFields {
	return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));
}
