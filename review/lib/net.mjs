/** Small helpers that all stand-ins share: ports, lines and waiting. */
import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

export const HOST = '127.0.0.1';

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

/** Returns a free port whose `count - 1` successors are free as well. */
export async function findFreePorts(count) {
  for (;;) {
    const first = await tryListen(0);
    const {port} = first.address();
    const opened = [first];
    for (let next = port + 1; next < port + count; next++) {
      opened.push(await tryListen(next));
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
