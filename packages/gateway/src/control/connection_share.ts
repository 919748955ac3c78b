/** Connections of an instance that are left for control and for surplus proxies. */
const RESERVED_CONNECTIONS = 2;

/**
 * Connections that one proxy may open to an instance. Each proxy counts the
 * registered ones, which include those that left without a word, so the shares
 * add up to no more than the limit.
 *
 * @public
 */
export function computeConnectionShare(
  maxConnections: number,
  entryVmCount: number,
): number {
  const available = Math.max(1, maxConnections - RESERVED_CONNECTIONS);
  return Math.max(1, Math.floor(available / Math.max(1, entryVmCount)));
}
