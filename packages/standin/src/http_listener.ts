import type {Server} from 'node:http';

/**
 * Starts listening and returns the base URL; rejects if the port is in use.
 * Port 0 selects a free port.
 *
 * @internal
 */
export async function listenForHttp(
  server: Server,
  host: string,
  port: number,
): Promise<string> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  const address = server.address();
  const boundPort =
    address !== null && typeof address === 'object' ? address.port : port;
  return `http://${host}:${boundPort}`;
}
