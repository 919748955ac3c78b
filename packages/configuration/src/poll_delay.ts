import type {RandomSource} from '@filbertrun/base/random_source.js';

/**
 * Delay between polls of the pointer in the platform's table.
 *
 * @public
 */

/** Minimum mean delay between polls of a proxy. */
const MIN_MEAN_DELAY_MS = 1000;

/**
 * Maximum mean delay after failed polls, unless the rate limit requires more.
 */
const MAX_BACKOFF_DELAY_MS = 8000;

/**
 * Maximum polls per second by all proxies: a twentieth of the read rate that
 * the platform allows.
 */
const MAX_POLLS_PER_SECOND = 100;

/**
 * Returns the delay before the next poll, uniformly distributed from 0.5 to 1.5
 * times the mean. The mean keeps the total rate of all proxies within
 * `MAX_POLLS_PER_SECOND` and doubles with each failed poll up to a limit.
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
