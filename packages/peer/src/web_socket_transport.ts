import type {Clock} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  createTRPCUntypedClient,
  createWSClient,
  TRPCClientError,
  wsLink,
  type TRPCUntypedClient,
} from '@trpc/client';
import type {AnyRouter} from '@trpc/server';
import {WebSocket} from 'ws';
import {z} from 'zod';
import {formatAuthorization} from './peer_credentials.js';
import {
  PEER_PROCEDURES,
  type PeerInput,
  type PeerOutput,
  type PeerProcedure,
} from './peer_protocol.js';
import type {PeerTlsOptions} from './peer_server.js';
import type {PeerError, PeerTransport} from './peer_transport.js';

/**
 * Calls peers by tRPC over one WebSocket per peer. If a call times out or its
 * connection fails, the connection is closed, and the next call opens a new
 * one.
 *
 * @public
 */

/** Options of a WebSocket transport. @public */
export interface WebSocketTransportOptions {
  readonly clock: Clock;
  /** Secret of the role that this process has. */
  readonly secret: string;
  /** Local address to bind; null lets the operating system choose. */
  readonly sourceAddress: string | null;
  readonly tls: PeerTlsOptions | null;
}

/** Maximum size of a message, in bytes. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Timeout for opening a connection, including the handshake. */
const HANDSHAKE_TIMEOUT_MS = 2000;

interface PeerConnection {
  readonly client: TRPCUntypedClient<AnyRouter>;
  close(): void;
}

/** Calls peers by tRPC over WebSocket. @public */
export class WebSocketTransport implements PeerTransport {
  private readonly connections = new Map<string, PeerConnection>();
  private isDisposed = false;

  private constructor(private readonly options: WebSocketTransportOptions) {}

  static create(options: WebSocketTransportOptions): WebSocketTransport {
    return new WebSocketTransport(options);
  }

  async call<P extends PeerProcedure>(
    peerUrl: string,
    procedure: P,
    input: PeerInput<P>,
    timeoutMs: number,
  ): Promise<Result<PeerOutput<P>, PeerError>> {
    if (this.isDisposed) {
      return failure({kind: 'unreachable', reason: 'disposed'});
    }
    const connection = this.getConnection(peerUrl);
    const response = await this.callWithTimeout(
      connection,
      procedure,
      input,
      timeoutMs,
    );
    if (response.ok) {
      return parseResponse(procedure, response.value);
    }
    const isBroken = response.error.kind !== 'rejected';
    if (isBroken && this.connections.get(peerUrl) === connection) {
      this.closeConnection(peerUrl);
    }
    return response;
  }

  closeConnection(peerUrl: string): void {
    const connection = this.connections.get(peerUrl);
    this.connections.delete(peerUrl);
    connection?.close();
  }

  dispose(): void {
    this.isDisposed = true;
    for (const peerUrl of [...this.connections.keys()]) {
      this.closeConnection(peerUrl);
    }
  }

  private getConnection(peerUrl: string): PeerConnection {
    const existing = this.connections.get(peerUrl);
    if (existing !== undefined) {
      return existing;
    }
    const connection = createConnection(peerUrl, this.options, () => {
      if (this.connections.get(peerUrl) === connection) {
        this.closeConnection(peerUrl);
      }
    });
    this.connections.set(peerUrl, connection);
    return connection;
  }

  private async callWithTimeout(
    connection: PeerConnection,
    procedure: string,
    input: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    const controller = new AbortController();
    let isTimedOut = false;
    const timer = this.options.clock.startTimer(timeoutMs, () => {
      isTimedOut = true;
      controller.abort();
    });
    try {
      const value = await connection.client.mutation(procedure, input, {
        signal: controller.signal,
      });
      return success(value);
    } catch (error) {
      return failure(
        isTimedOut ? {kind: 'timedOut', timeoutMs} : toPeerError(error),
      );
    } finally {
      timer.cancel();
    }
  }
}

function createConnection(
  peerUrl: string,
  options: WebSocketTransportOptions,
  onClose: () => void,
): PeerConnection {
  const wsClient = createWSClient({
    url: toWebSocketUrl(peerUrl),
    WebSocket: createWebSocketClass(options) as never,
    lazy: {enabled: true, closeMs: 3_600_000},
    onClose,
    onError: onClose,
  });
  const client = createTRPCUntypedClient<AnyRouter>({
    links: [wsLink({client: wsClient})],
  });
  return {
    client,
    close: () => {
      wsClient.close().catch(() => {});
    },
  };
}

/**
 * Creates a WebSocket class with the connection options built in, because the
 * tRPC client constructs its sockets from a URL alone.
 */
function createWebSocketClass(
  options: WebSocketTransportOptions,
): new (url: string | URL) => WebSocket {
  const {secret, sourceAddress, tls} = options;
  const tlsOptions =
    tls === null
      ? {}
      : {key: tls.key, cert: tls.certificate, ca: tls.authorities};
  const addressOptions =
    sourceAddress === null ? {} : {localAddress: sourceAddress};
  return class PeerWebSocket extends WebSocket {
    constructor(url: string | URL) {
      super(url, {
        ...tlsOptions,
        ...addressOptions,
        headers: {authorization: formatAuthorization(secret)},
        handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
        maxPayload: MAX_MESSAGE_BYTES,
        perMessageDeflate: false,
      });
      // The tRPC client handles errors through the `close` event.
      this.on('error', () => {});
    }
  };
}

function toWebSocketUrl(peerUrl: string): string {
  return peerUrl.replace(/^http/, 'ws');
}

function toPeerError(error: unknown): PeerError {
  if (error instanceof TRPCClientError) {
    if (error.data !== undefined && error.data !== null) {
      return {kind: 'rejected', reason: error.message};
    }
    return {kind: 'unreachable', reason: error.message};
  }
  const reason = error instanceof Error ? error.message : String(error);
  return {kind: 'unreachable', reason};
}

function parseResponse<P extends PeerProcedure>(
  procedure: P,
  value: unknown,
): Result<PeerOutput<P>, PeerError> {
  const parsed = PEER_PROCEDURES[procedure].output.safeParse(value);
  if (!parsed.success) {
    const reason = z.prettifyError(parsed.error);
    return failure({kind: 'malformedAnswer', reason});
  }
  return success(parsed.data as PeerOutput<P>);
}
