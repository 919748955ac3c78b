import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {estimateWaitMs, WorkAheadSum, type PoolLoad} from './expected_wait.js';
import type {QueuedEntry, RequestQueue} from './request_queue.js';

/**
 * Decides which requests a pool with a fair queue accepts and which queued
 * entries it rejects, because they are not expected to be sent in time.
 */

/** Shortest time between two reviews of the queue by the timer. */
const MIN_REVIEW_INTERVAL_MS = 1;

/**
 * Longest time between two reviews while entries are queued. Corrections of used
 * work and closed connections also delay entries, but don't cause a review.
 */
const MAX_REVIEW_INTERVAL_MS = 20;

/** Lowest and highest retry delay before jitter. */
const MIN_RETRY_AFTER_MS = 5;
const MAX_RETRY_AFTER_MS = 1_000;

/** Entry that will be too late, and its expected wait. @internal */
export interface LateEntry<E> {
  readonly entry: E;
  readonly waitMs: number;
}

/** Late entries of a queue and the slack of the others. @internal */
export interface QueueReview<E> {
  readonly late: readonly LateEntry<E>[];
  /** Least time between the expected start of an entry and its deadline. */
  readonly minSlackMs: number;
}

/** Returns the expected wait of a request on its arrival. @internal */
export function estimateArrivalWaitMs(
  arrival: QueuedEntry,
  queue: RequestQueue<QueuedEntry>,
  load: PoolLoad,
): number {
  const ahead = WorkAheadSum.create(load);
  for (const entry of queue.getAhead(arrival)) {
    ahead.add(entry);
  }
  return estimateWaitMs(load, ahead, {
    isReplaceable: arrival.isReplaceable,
    needsHandshake: ahead.needsHandshake(arrival.identity),
  });
}

/** Whether an arriving request is expected to be sent in time. @internal */
export function isExpectedInTime(waitMs: number, remainingMs: number): boolean {
  return waitMs < remainingMs;
}

/**
 * Finds the entries that can no longer be sent in time. Entries are examined in
 * the order of service, and a late one does not count for those behind it.
 *
 * @internal
 */
export function reviewQueue<E extends QueuedEntry>(
  queue: RequestQueue<E>,
  load: PoolLoad,
  nowMs: number,
): QueueReview<E> {
  const late: LateEntry<E>[] = [];
  const ahead = WorkAheadSum.create(load);
  let minSlackMs = Infinity;
  for (const entry of queue.getAll()) {
    const waitMs = estimateWaitMs(load, ahead, {
      isReplaceable: entry.isReplaceable,
      needsHandshake: ahead.needsHandshake(entry.identity),
    });
    const slackMs = entry.deadlineMs - nowMs - waitMs;
    if (slackMs < 0) {
      late.push({entry, waitMs});
    } else {
      minSlackMs = Math.min(minSlackMs, slackMs);
      ahead.add(entry);
    }
  }
  return {late, minSlackMs};
}

/**
 * Returns the retry delay of a rejected request: a random time around the
 * expected wait, so that requests rejected together do not return together.
 *
 * @internal
 */
export function chooseRetryAfterMs(
  waitMs: number,
  random: RandomSource,
): number {
  const boundedMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, waitMs),
  );
  return boundedMs * (0.5 + random.nextFloat());
}

/**
 * Decides when a queue must be reviewed again. Time and new work ahead of an
 * entry use up its slack, so no review is needed before the least slack of the
 * last one is used up, unless the slots become fewer.
 *
 * @internal
 */
export class ReviewSchedule {
  private timer: Timer | null = null;
  private dueMs = Infinity;
  private reviewedSlots = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly handleDue: () => void,
  ) {}

  static create(clock: Clock, handleDue: () => void): ReviewSchedule {
    return new ReviewSchedule(clock, handleDue);
  }

  isDue(slots: number): boolean {
    return slots < this.reviewedSlots || this.clock.nowMs() >= this.dueMs;
  }

  /** Accounts for a new entry, whose work may be ahead of others. */
  addEntry(entry: QueuedEntry, waitMs: number, slots: number): void {
    const slackMs = entry.deadlineMs - this.clock.nowMs() - waitMs;
    this.dueMs -= entry.workMs / Math.max(1, slots);
    this.reviewedSlots = Math.max(this.reviewedSlots, slots);
    this.setDue(slackMs);
  }

  /** Plans the next review after one that found `minSlackMs`. */
  plan(minSlackMs: number, slots: number): void {
    this.reviewedSlots = slots;
    this.clear();
    if (minSlackMs !== Infinity) {
      this.setDue(Math.max(MIN_REVIEW_INTERVAL_MS, minSlackMs));
    }
  }

  /** Cancels the next review. */
  clear(): void {
    this.timer?.cancel();
    this.timer = null;
    this.dueMs = Infinity;
  }

  /** Plans a review after `delayMs` at the latest. */
  private setDue(delayMs: number): void {
    const nowMs = this.clock.nowMs();
    const boundedMs = Math.min(delayMs, MAX_REVIEW_INTERVAL_MS);
    this.dueMs = Math.min(this.dueMs, nowMs + boundedMs);
    this.timer?.cancel();
    this.timer = this.clock.startTimer(
      Math.max(MIN_REVIEW_INTERVAL_MS, this.dueMs - nowMs),
      () => {
        this.timer = null;
        this.handleDue();
      },
    );
  }
}
