import type {Clock} from '@filbertrun/base/clock.js';
import {sleep} from '@filbertrun/base/sleep.js';
import type {CallLatency} from './call_latency.js';
import type {NetworkPath} from './network_path.js';
import {STORE} from './simulated_network.js';

/** Time after which a proxy gives up a call to a slow store. */
const STORE_TIMEOUT_MS = 1_500;

/** Outcome of a call to the store. @internal */
export type StoreCallOutcome<T> =
  | {readonly kind: 'answered'; readonly value: T}
  /** Nothing was done. */
  | {readonly kind: 'unreachable'}
  /** The call may be performed later. */
  | {readonly kind: 'timedOut'};

/** Calls of one proxy to a store that may be slow. @internal */
export class StoreCaller {
  constructor(
    private readonly path: NetworkPath,
    /** Clock of the store, which runs on while the proxy is frozen. */
    private readonly clock: Clock,
    private readonly latency: CallLatency,
  ) {}

  /** Calls the store, which performs the call late if it is slow. */
  async call<T>(perform: () => Promise<T>): Promise<StoreCallOutcome<T>> {
    if (!(await this.path.reach(STORE))) {
      return {kind: 'unreachable'};
    }
    const {requestMs, responseMs} = this.latency.draw();
    const performed = this.performAfter(requestMs, perform);
    const totalMs = requestMs + responseMs;
    if (totalMs === 0) {
      return {kind: 'answered', value: await performed};
    }
    await this.path.pause(Math.min(totalMs, STORE_TIMEOUT_MS));
    return totalMs <= STORE_TIMEOUT_MS && this.path.canReach(STORE)
      ? {kind: 'answered', value: await performed}
      : {kind: 'timedOut'};
  }

  private async performAfter<T>(
    delayMs: number,
    perform: () => Promise<T>,
  ): Promise<T> {
    if (delayMs > 0) {
      await sleep(this.clock, delayMs);
    }
    return perform();
  }
}
