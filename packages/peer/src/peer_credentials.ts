import {createHash, timingSafeEqual} from 'node:crypto';
import type {PeerRole} from './peer_protocol.js';

/**
 * Shared secrets that the callers of the peer interface present.
 *
 * @public
 */

/** The secrets that a proxy accepts. @public */
export interface PeerSecrets {
  readonly peerSecret: string;
  readonly operatorSecret: string;
}

const SCHEME = 'Bearer ';

/** The header that presents a secret. @public */
export function formatAuthorization(secret: string): string {
  return `${SCHEME}${secret}`;
}

/** The role that a header proves, or null. @public */
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

/** Whether a caller with this role may call a procedure that needs another. @public */
export function isAllowed(role: PeerRole, requiredRole: PeerRole): boolean {
  return role === 'peer' || requiredRole === 'operator';
}

/** Compares in a time that does not depend on where the texts differ. */
function isEqual(left: string, right: string): boolean {
  return timingSafeEqual(hash(left), hash(right));
}

function hash(text: string): Buffer {
  return createHash('sha256').update(text).digest();
}
