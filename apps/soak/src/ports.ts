import net from 'node:net';
import type {RandomSource} from '@filbertrun/base/random_source.js';

/** Listeners on loopback and free ports for processes. */

/** The only address that a run uses. @internal */
export const HOST = '127.0.0.1';

/**
 * The ports lie below those that the system gives to outgoing connections, so a
 * port is still free when a process starts again.
 */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

/** Ports that this process has given away. */
const taken = new Set<number>();

/** Listens on a port, or on any for 0; returns the port, null if taken. @internal */
export function listen(
  server: net.Server,
  port: number,
): Promise<number | null> {
  return new Promise(resolve => {
    server.once('error', () => resolve(null));
    server.listen(port, HOST, () => {
      const address = server.address();
      resolve(
        address !== null && typeof address === 'object' ? address.port : null,
      );
    });
  });
}

async function isFree(port: number): Promise<boolean> {
  const server = net.createServer();
  if ((await listen(server, port)) === null) {
    return false;
  }
  await new Promise(resolve => server.close(resolve));
  return true;
}

/** Returns the first of `count` consecutive free ports. @internal */
export async function findFreePorts(
  random: RandomSource,
  count: number,
): Promise<number> {
  for (;;) {
    const first = random.nextInteger(FIRST_PORT, FIRST_PORT + PORT_COUNT);
    let areFree = true;
    for (let port = first; areFree && port < first + count; port++) {
      areFree = !taken.has(port) && (await isFree(port));
    }
    if (areFree) {
      for (let port = first; port < first + count; port++) {
        taken.add(port);
      }
      return first;
    }
  }
}
