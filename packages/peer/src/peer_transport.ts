import type {Result} from '@filbertrun/base/result.js';
import type {PeerInput, PeerOutput, PeerProcedure} from './peer_protocol.js';

/**
 * Calls of procedures on other proxies, over a network or a fake one.
 *
 * @public
 */

/** Why a call gave no answer. @public */
export type PeerError =
  /** The peer could not be reached, or the connection broke. */
  | {readonly kind: 'unreachable'; readonly reason: string}
  | {readonly kind: 'timedOut'; readonly timeoutMs: number}
  /** The peer refused the message or failed while it answered. */
  | {readonly kind: 'rejected'; readonly reason: string}
  /** The answer has another form than agreed. */
  | {readonly kind: 'malformedAnswer'; readonly reason: string};

/** Sends calls to peers. @public */
export interface PeerTransport {
  /** Calls a procedure of the peer at a base URL such as `ws://10.0.0.1:7000`. */
  call<P extends PeerProcedure>(
    peerUrl: string,
    procedure: P,
    input: PeerInput<P>,
    timeoutMs: number,
  ): Promise<Result<PeerOutput<P>, PeerError>>;
  /** Closes the connection to a peer that is gone. */
  forget(peerUrl: string): void;
  dispose(): void;
}

/** Describes a failed call for a person. @public */
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
