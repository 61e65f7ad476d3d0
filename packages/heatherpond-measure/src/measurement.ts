/** Options and results common to all measurements. */
import * as z from 'zod';

/** A measured figure. */
export const figureSchema = z.object({
	name: z.string(),
	value: z.number(),
	/** Unit of the value, such as `ms`, `share` or `requests`. */
	unit: z.string(),
	/** Target as text; absent if the figure has none. */
	target: z.string().optional(),
	/** Whether the target is met; absent if the figure has none. */
	isMet: z.boolean().optional(),
});

/** A measured figure. */
export type Figure = z.infer<typeof figureSchema>;

/** Figures measured under the same conditions. */
export const figureGroupSchema = z.object({
	/** Conditions, such as `kringloop, primary dead`. */
	title: z.string(),
	figures: z.array(figureSchema),
});

/** Figures measured under the same conditions. */
export type FigureGroup = z.infer<typeof figureGroupSchema>;

/** Result of a measurement, as written to its JSON file. */
export const measurementResultSchema = z.object({
	name: z.string(),
	groups: z.array(figureGroupSchema),
	/** Observed violations of guarantees, one line each; empty if the run found none. */
	brokenPromises: z.array(z.string()),
});

/** Result of a measurement. */
export type MeasurementResult = z.infer<typeof measurementResultSchema>;

/** Options of a measurement. */
export type MeasurementOptions = {
	readonly deployment: 'kringloop' | 'instituto';
	/** Whether to run a shorter version. */
	readonly isQuick: boolean;
	/** Seed of the random number generators. */
	readonly seed: number;
	/** Called with each line of progress output. */
	readonly writeLine: (line: string) => void;
	readonly signal: AbortSignal;
};

/** A measurement or benchmark available on the command line. */
export type Measurement = {
	readonly name: string;
	readonly description: string;
	readonly run: (options: MeasurementOptions) => Promise<MeasurementResult>;
};
