import type {LeaseOutcome} from './pool_types.js';

/**
 * Good responses in a row after a bad one from which a limit may grow. With 30%
 * failures it admits about a third of the good responses, so that reductions
 * outweigh growth; a recovered server needs two responses more.
 */
const GROWTH_STREAK = 3;

/** What a response means for a concurrency limit. @internal */
export type ResponseVerdict = 'grow' | 'keep' | 'reduce';

/**
 * Counts consecutive good responses, and decides which rejections, failures and
 * timeouts reduce a concurrency limit. The requests that were in flight at a
 * reduction were sent under the old limit, so their responses cause no further
 * one.
 *
 * @internal
 */
export class ResponseStreak {
  private goodResponses = GROWTH_STREAK;
  /** Responses to come from before the last reduction. */
  private outdatedResponses = 0;

  private constructor() {}

  static create(): ResponseStreak {
    return new ResponseStreak();
  }

  /** Records a response received under the limit `limit`. */
  record(outcome: LeaseOutcome, limit: number): ResponseVerdict {
    if (outcome === 'unused') {
      return 'keep';
    }
    const isOutdated = this.outdatedResponses > 0;
    this.outdatedResponses = Math.max(0, this.outdatedResponses - 1);
    if (outcome === 'served') {
      this.goodResponses++;
      return this.goodResponses >= GROWTH_STREAK ? 'grow' : 'keep';
    }
    this.goodResponses = 0;
    if (isOutdated) {
      return 'keep';
    }
    this.outdatedResponses = limit - 1;
    return 'reduce';
  }

  /** Forgets earlier responses; the next good one may cause growth. */
  restart(): void {
    this.goodResponses = GROWTH_STREAK;
    this.outdatedResponses = 0;
  }
}
