import type {RandomSource} from '@filbertrun/base/random_source.js';

/**
 * How often a proxy reads the pointer from the platform's table.
 *
 * @public
 */

/** Shortest mean delay between two polls of one proxy. */
const SHORTEST_DELAY_MS = 1000;

/** Longest mean delay after failed polls. */
const LONGEST_DELAY_MS = 8000;

/** Polls a second by all proxies together, a twentieth of the platform's reads. */
const POLL_BUDGET_PER_SECOND = 100;

/**
 * Delay before the next poll, drawn from half to one and a half times its
 * mean. The mean keeps all proxies within the budget and doubles with each
 * failed poll.
 *
 * @public
 */
export function computePollDelayMs(
  proxyCount: number,
  failedPolls: number,
  random: RandomSource,
): number {
  const budgetedMs = (proxyCount * 1000) / POLL_BUDGET_PER_SECOND;
  const meanMs = Math.max(SHORTEST_DELAY_MS, budgetedMs);
  const backedOffMs = Math.min(
    Math.max(LONGEST_DELAY_MS, meanMs),
    meanMs * 2 ** Math.min(failedPolls, 10),
  );
  return backedOffMs * (0.5 + random.nextFloat());
}
