import type {RandomSource} from '@filbertrun/base/random_source.js';

/**
 * How often a proxy reads the pointer from the platform's table.
 *
 * @public
 */

/** Shortest mean delay between two polls of one proxy. */
const MIN_MEAN_DELAY_MS = 1000;

/** Longest mean delay after failed polls. */
const MAX_BACKOFF_DELAY_MS = 8000;

/** Polls a second by all proxies together, a twentieth of the platform's reads. */
const MAX_POLLS_PER_SECOND = 100;

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
  const rateLimitedMs = (proxyCount * 1000) / MAX_POLLS_PER_SECOND;
  const meanMs = Math.max(MIN_MEAN_DELAY_MS, rateLimitedMs);
  const backedOffMs = Math.min(
    Math.max(MAX_BACKOFF_DELAY_MS, meanMs),
    meanMs * 2 ** Math.min(failedPolls, 10),
  );
  return backedOffMs * (0.5 + random.nextFloat());
}
