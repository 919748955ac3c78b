import type {Result} from '@filbertrun/base/result.js';
import type {PeerInput, PeerOutput, PeerProcedure} from './peer_protocol.js';

/**
 * Interface for calling procedures on other proxies. Tests use a fake network.
 *
 * @public
 */

/** Reason why a call failed. @public */
export type PeerError =
  /** The peer is unreachable, or the connection was lost. */
  | {readonly kind: 'unreachable'; readonly reason: string}
  | {readonly kind: 'timedOut'; readonly timeoutMs: number}
  /** The peer refused the request or failed to process it. */
  | {readonly kind: 'rejected'; readonly reason: string}
  /** The response does not match the schema of the procedure. */
  | {readonly kind: 'malformedAnswer'; readonly reason: string};

/** Calls procedures of peers. @public */
export interface PeerTransport {
  /** Calls a procedure of the peer at a base URL such as `ws://10.0.0.1:7000`. */
  call<P extends PeerProcedure>(
    peerUrl: string,
    procedure: P,
    input: PeerInput<P>,
    timeoutMs: number,
  ): Promise<Result<PeerOutput<P>, PeerError>>;
  /** Closes the connection to a peer, if there is one. */
  closeConnection(peerUrl: string): void;
  dispose(): void;
}

/** Formats the error of a failed call as a message. @public */
export function describePeerError(error: PeerError): string {
  switch (error.kind) {
    case 'timedOut':
      return `no answer within ${error.timeoutMs} ms`;
    case 'unreachable':
    case 'rejected':
    case 'malformedAnswer':
      return `${error.kind}: ${error.reason}`;
  }
}
