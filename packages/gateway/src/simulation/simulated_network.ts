import {getMachine} from './machine_name.js';

/** Name of the store in the network. @internal */
export const STORE = 'store';

/**
 * Tracks which nodes of a simulated deployment are disconnected from each other.
 *
 * @internal
 */
export class SimulatedNetwork {
  private readonly disconnectCounts = new Map<string, number>();

  private constructor() {}

  static create(): SimulatedNetwork {
    return new SimulatedNetwork();
  }

  /** Whether messages pass between two nodes. */
  isConnected(left: string, right: string): boolean {
    return (
      getMachine(left) === getMachine(right) ||
      !this.disconnectCounts.has(toKey(left, right))
    );
  }

  cut(left: string, right: string): void {
    const key = toKey(left, right);
    this.disconnectCounts.set(key, (this.disconnectCounts.get(key) ?? 0) + 1);
  }

  /** Ends one cut of a pair; the pair reconnects when no cut is left. */
  heal(left: string, right: string): void {
    const key = toKey(left, right);
    const count = (this.disconnectCounts.get(key) ?? 0) - 1;
    if (count > 0) {
      this.disconnectCounts.set(key, count);
    } else {
      this.disconnectCounts.delete(key);
    }
  }
}

function toKey(left: string, right: string): string {
  return [getMachine(left), getMachine(right)].sort().join('|');
}
