import {sleep} from '@filbertrun/base/sleep.js';
import type {Clock} from '@filbertrun/base/clock.js';
import type {SimulatedNetwork} from './simulated_network.js';

/** Time that a call to another party takes. @internal */
export const CALL_MS = 2;

/** Time after which a call without an answer is given up. @internal */
export const CALL_TIMEOUT_MS = 400;

/** The path from one proxy to other parties. @internal */
export class PartyLink {
  constructor(
    readonly name: string,
    private readonly clock: Clock,
    private readonly network: SimulatedNetwork,
  ) {}

  /** Waits for the time of a call; false after a timeout without a path. */
  async reach(party: string): Promise<boolean> {
    const isConnected = this.isConnected(party);
    await this.pause(isConnected ? CALL_MS : CALL_TIMEOUT_MS);
    return isConnected && this.isConnected(party);
  }

  pause(delayMs: number): Promise<void> {
    return sleep(this.clock, delayMs);
  }

  private isConnected(party: string): boolean {
    return this.network.isConnected(this.name, party);
  }
}
