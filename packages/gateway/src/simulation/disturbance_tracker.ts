/** Time after its last disturbance from which a proxy is judged by the rules with time bounds. */
const UNDISTURBED_MS = 4_000;

/** Since when each proxy has been free of disturbance. @internal */
export class DisturbanceTracker {
  private readonly disturbedAtMs = new Map<string, number>();

  private constructor() {}

  static create(): DisturbanceTracker {
    return new DisturbanceTracker();
  }

  recordDisturbance(proxy: string, nowMs: number): void {
    this.disturbedAtMs.set(proxy, nowMs);
  }

  /** Whether a proxy was free of disturbance for long enough. */
  isUndisturbed(proxy: string, nowMs: number): boolean {
    const atMs = this.disturbedAtMs.get(proxy) ?? Number.NEGATIVE_INFINITY;
    return nowMs - atMs >= UNDISTURBED_MS;
  }
}
