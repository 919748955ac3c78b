import {sleep} from '@filbertrun/base/sleep.js';
import type {Clock} from '@filbertrun/base/clock.js';
import type {SimulatedNetwork} from './simulated_network.js';

/** Duration of one message to another node. @internal */
export const CALL_MS = 2;

/** Timeout of a call that gets no response. @internal */
export const CALL_TIMEOUT_MS = 400;

/** The network path from one proxy to the other nodes. @internal */
export class NetworkPath {
  constructor(
    readonly name: string,
    private readonly clock: Clock,
    private readonly network: SimulatedNetwork,
  ) {}

  /**
   * Waits until a message arrives at a node. Returns false, after the timeout,
   * if the node is disconnected.
   */
  async reach(node: string): Promise<boolean> {
    const isConnected = this.isConnected(node);
    await this.pause(isConnected ? CALL_MS : CALL_TIMEOUT_MS);
    return isConnected && this.isConnected(node);
  }

  pause(delayMs: number): Promise<void> {
    return sleep(this.clock, delayMs);
  }

  /** Whether messages reach a node now. */
  canReach(node: string): boolean {
    return this.isConnected(node);
  }

  private isConnected(node: string): boolean {
    return this.network.isConnected(this.name, node);
  }
}
