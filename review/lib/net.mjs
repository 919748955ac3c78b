/** Small helpers that all stand-ins share: ports, lines and waiting. */
import {randomInt} from 'node:crypto';
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

export const HOST = '127.0.0.1';

const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;

/** Ports that this process has given away. */
const taken = new Set();

/** Opens a listener on a port; resolves with null if the port is taken. */
function tryListen(port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(null));
    server.listen(port, HOST, () => resolve(server));
  });
}

function close(server) {
  return new Promise(resolve => server.close(resolve));
}

/**
 * Returns a free port whose `count - 1` successors are free as well. It lies
 * below the ports that the system gives to outgoing connections, so that it is
 * still free when a process starts again.
 */
export async function findFreePorts(count) {
  for (;;) {
    const port = FIRST_PORT + randomInt(PORT_COUNT);
    const opened = [];
    for (let next = port; next < port + count; next++) {
      opened.push(taken.has(next) ? null : await tryListen(next));
      taken.add(next);
    }
    const isFree = opened.every(server => server !== null);
    for (const server of opened) {
      if (server !== null) {
        await close(server);
      }
    }
    if (isFree) {
      return port;
    }
  }
}

/** Calls `handleLine` for each line, which ends in CR LF, of a socket. */
export function readLines(socket, handleLine) {
  let rest = '';
  socket.on('data', chunk => {
    const lines = (rest + chunk.toString('latin1')).split('\r\n');
    rest = lines.pop();
    for (const line of lines) {
      handleLine(line);
    }
  });
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitUntil(isMet, timeoutMs) {
  const endMs = Date.now() + timeoutMs;
  while (Date.now() < endMs) {
    if (await isMet()) {
      return true;
    }
    await sleep(20);
  }
  return false;
}
