/** Loopback address for the hosts of tests that restart one at the ports that it had. */
import process from 'node:process';

/**
 * Own loopback address of this test process. Connections of other tests take their local ports at 127.0.0.1, so none of them
 * can take the ports of a host while it is down.
 */
export const HOST_ADDRESS = `127.0.1.${process.env.JEST_WORKER_ID ?? '1'}`;
