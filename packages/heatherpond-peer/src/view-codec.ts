/** Text format in which hosts send each other their fleet views. */
import type {FleetView} from 'heatherpond-core';

/** Encodes a complete fleet view as text and decodes it. */
export type ViewCodec = {
	readonly encode: (view: FleetView) => string;
	readonly decode: (text: string) => FleetView;
};
