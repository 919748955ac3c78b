import {subscribe} from 'node:diagnostics_channel';
import {renameSync, writeFileSync} from 'node:fs';
import {Socket} from 'node:net';
import process from 'node:process';
import {PROBE_FILE_VARIABLE, type ResourceUsage} from './resource_usage.js';

/**
 * Loaded into the measured process by `node --import`. On SIGUSR2 it writes the
 * resource usage of the process to the file given by `BENCH_PROBE_FILE`.
 */

const openSockets = new Map<Socket, string>();
const closedBytes = new Map<string, number>();

function addBytes(totals: Map<string, number>, port: string, bytes: number) {
  totals.set(port, (totals.get(port) ?? 0) + bytes);
}

function trackSocket(socket: Socket, port: string): void {
  openSockets.set(socket, port);
  socket.once('close', () => {
    openSockets.delete(socket);
    addBytes(closedBytes, port, getBytes(socket));
  });
}

function getBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}

// The `net.client.socket` diagnostics channel does not report sockets that a
// library creates itself, so `Socket.prototype.connect` is patched instead.
const originalConnect = Socket.prototype.connect;
Socket.prototype.connect = function connect(
  this: Socket,
  ...parameters: unknown[]
): Socket {
  this.once('connect', () => trackSocket(this, String(this.remotePort)));
  return Reflect.apply(originalConnect, this, parameters) as Socket;
} as typeof originalConnect;

subscribe('net.server.socket', message => {
  const {socket} = message as {socket: Socket};
  trackSocket(socket, String(socket.localPort));
});

function readUsage(): ResourceUsage {
  globalThis.gc?.();
  const totals = new Map(closedBytes);
  for (const [socket, port] of openSockets) {
    addBytes(totals, port, getBytes(socket));
  }
  const cpu = process.cpuUsage();
  const memory = process.memoryUsage();
  return {
    cpuMs: (cpu.user + cpu.system) / 1000,
    heapBytes: memory.heapUsed + memory.arrayBuffers,
    residentBytes: memory.rss,
    bytesByPort: Object.fromEntries(totals),
  };
}

const file = process.env[PROBE_FILE_VARIABLE];
if (file !== undefined) {
  process.on('SIGUSR2', () => {
    const temporaryFile = `${file}.part`;
    writeFileSync(temporaryFile, JSON.stringify(readUsage()));
    renameSync(temporaryFile, file);
  });
}
