/** Measures the heap memory retained by a value. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** A value with the heap memory that it retains. */
export type MeasuredValue<Value> = {readonly value: Value; readonly bytes: number};

/** Creates a value and measures its retained heap, with a forced garbage collection before and after. */
export function measureHeap<Value>(create: () => Value): MeasuredValue<Value> {
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const value = create();
	collectGarbage();
	return {value, bytes: process.memoryUsage().heapUsed - before};
}
