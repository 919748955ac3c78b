/**
 * Time after its last disturbance until a proxy must meet time bounds again,
 * which are the rules `lateConfiguration` and `usedAfterDrain`.
 */
const UNDISTURBED_MS = 4_000;

/**
 * Records when each proxy was last disturbed by a fault: not running, suspended,
 * without the store or with a slow one, or with a stepped clock.
 *
 * @internal
 */
export class DisturbanceTracker {
  private readonly disturbedAtMs = new Map<string, number>();

  private constructor() {}

  static create(): DisturbanceTracker {
    return new DisturbanceTracker();
  }

  recordDisturbance(proxy: string, nowMs: number): void {
    this.disturbedAtMs.set(proxy, nowMs);
  }

  /** Whether time bounds apply to a proxy. */
  isUndisturbed(proxy: string, nowMs: number): boolean {
    const atMs = this.disturbedAtMs.get(proxy) ?? Number.NEGATIVE_INFINITY;
    return nowMs - atMs >= UNDISTURBED_MS;
  }
}
