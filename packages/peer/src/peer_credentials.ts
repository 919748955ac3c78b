import {createHash, timingSafeEqual} from 'node:crypto';
import type {PeerRole} from './peer_protocol.js';

/**
 * Shared secrets that authenticate clients of the peer interface.
 *
 * @public
 */

/** The secrets that a proxy accepts. @public */
export interface PeerSecrets {
  readonly peerSecret: string;
  readonly operatorSecret: string;
}

const SCHEME = 'Bearer ';

/** Formats the authorization header for a secret. @public */
export function formatAuthorization(secret: string): string {
  return `${SCHEME}${secret}`;
}

/** Returns the role that a header authenticates, or null. @public */
export function authenticate(
  header: string | undefined,
  secrets: PeerSecrets,
): PeerRole | null {
  if (header === undefined || !header.startsWith(SCHEME)) {
    return null;
  }
  const presented = header.slice(SCHEME.length);
  if (isEqual(presented, secrets.peerSecret)) {
    return 'peer';
  }
  return isEqual(presented, secrets.operatorSecret) ? 'operator' : null;
}

/** Whether `role` may call a procedure that requires `requiredRole`. @public */
export function isAllowed(role: PeerRole, requiredRole: PeerRole): boolean {
  return role === 'peer' || requiredRole === 'operator';
}

/** Compares in constant time, to leak nothing about the expected secret. */
function isEqual(left: string, right: string): boolean {
  return timingSafeEqual(hash(left), hash(right));
}

function hash(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
