import {setTimeout as sleep} from 'node:timers/promises';
import pg from 'pg';

/** Proxy to wait for. @internal */
export interface ProxyProbe {
  readonly readyUrl: string;
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
  readonly databaseGroup: string;
  /** Whether the proxy's process has exited, which ends the wait. */
  readonly hasEnded: () => boolean;
}

/** Longest wait for a proxy to become ready. */
const READY_TIMEOUT_MS = 30_000;

/** Time between two attempts. */
const ATTEMPT_INTERVAL_MS = 50;

/** Timeout of one login. */
const LOGIN_TIMEOUT_MS = 5000;

/** Waits until a proxy reports ready and a caller can log in. @internal */
export async function waitForProxy(probe: ProxyProbe): Promise<void> {
  const deadlineMs = Date.now() + READY_TIMEOUT_MS;
  let lastError: unknown = null;
  while (Date.now() < deadlineMs && !probe.hasEnded()) {
    try {
      await checkReady(probe);
      return;
    } catch (error) {
      lastError = error;
      await sleep(ATTEMPT_INTERVAL_MS);
    }
  }
  throw new Error(
    `The proxy on port ${probe.port} did not become ready; last error: ${String(lastError)}`,
  );
}

async function checkReady(probe: ProxyProbe): Promise<void> {
  const response = await fetch(probe.readyUrl);
  if (!response.ok) {
    throw new Error(`${probe.readyUrl} returned status ${response.status}`);
  }
  const client = new pg.Client({
    host: probe.host,
    port: probe.port,
    user: probe.user,
    password: probe.password,
    database: probe.databaseGroup,
    connectionTimeoutMillis: LOGIN_TIMEOUT_MS,
    query_timeout: LOGIN_TIMEOUT_MS,
  });
  // A broken connection also rejects the pending call, so the event needs no
  // handling.
  client.on('error', () => {});
  try {
    await client.connect();
    await client.query('SELECT 1');
  } finally {
    await client.end();
  }
}
