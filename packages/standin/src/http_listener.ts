import type {Server} from 'node:http';

/**
 * Makes a server listen and gives its base URL; rejects when the port is
 * taken. Port 0 takes any free port.
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
