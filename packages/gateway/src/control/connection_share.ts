/** Connections of an instance that are left for control. */
const RESERVED_CONNECTIONS = 2;

/**
 * Part of the rest that the proxies use in steady state. When all of them lose
 * power, their old connections count for seconds beside the new ones.
 */
const STEADY_PART = 0.8;

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
  const available = (maxConnections - RESERVED_CONNECTIONS) * STEADY_PART;
  return Math.max(1, Math.floor(available / Math.max(1, entryVmCount)));
}
