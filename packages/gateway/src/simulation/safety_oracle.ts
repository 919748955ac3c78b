import type {PromotionOrder} from '../backend/instance_control.js';
import {DRAIN_MS, type SimulatedInstance} from './simulated_group.js';
import type {DisturbanceTracker} from './disturbance_tracker.js';

/** An invariant that a history violated. @internal */
export interface Violation {
  readonly rule:
    /** A read ran on an instance that lacks a write that it must see. */
    | 'staleRead'
    /** A promoted instance lacks an acknowledged commit. */
    | 'lostCommit'
    /** Two proxies ordered promotions with the same fencing token. */
    | 'twoLeaders'
    /** A promotion order had a lower fencing token than an earlier one. */
    | 'lowerToken'
    /** An instance acknowledged a commit of an older term. */
    | 'acknowledgedByReplaced'
    /** The final log holds a write that was reported as not run. */
    | 'refusedButKept'
    /** The final log holds a write twice. */
    | 'ranTwice'
    /** A statement reached another service at a reused address. */
    | 'wrongService'
    /** A statement reached a server draining for more than `DRAIN_MS`. */
    | 'usedAfterDrain'
    /** A proxy used a version superseded for `CONFIGURATION_APPLY_MS`. */
    | 'lateConfiguration'
    /** A process used an older configuration than it had used before. */
    | 'configurationRegressed'
    /** Too few requests were served after the last fault. */
    | 'notRecovered';
  readonly detail: string;
}

/** An acknowledged commit. */
interface AcknowledgedWrite {
  readonly writeId: string;
  readonly atMs: number;
}

/**
 * Checks invariants that must hold under all faults, from what callers and the
 * platform observe: the acknowledged writes and the failover leader of each
 * fencing token.
 *
 * @internal
 */
export class SafetyOracle {
  readonly violations: Violation[] = [];
  readonly acknowledged: AcknowledgedWrite[] = [];
  private readonly refused = new Set<string>();
  private readonly leaders = new Map<number, string>();
  private highestToken = 0;
  private currentTerm = 1;

  private constructor(private readonly disturbances: DisturbanceTracker) {}

  static create(disturbances: DisturbanceTracker): SafetyOracle {
    return new SafetyOracle(disturbances);
  }

  /** Checks a caller's statement that `proxy` sent to an instance. */
  checkArrival(
    proxy: string,
    instance: SimulatedInstance,
    nowMs: number,
  ): void {
    const {backendServer} = instance.entry;
    if (instance.isForeign) {
      this.report('wrongService', `${proxy} at ${backendServer}`);
    }
    const isLate =
      instance.drainedAtMs !== null && nowMs - instance.drainedAtMs > DRAIN_MS;
    if (isLate && this.disturbances.isUndisturbed(proxy, nowMs)) {
      this.report('usedAfterDrain', `${proxy} at ${backendServer}`);
    }
  }

  /** Records an acknowledgement that reached a caller. */
  recordAcknowledged(writeId: string, atMs: number): void {
    this.acknowledged.push({writeId, atMs});
  }

  /** Records an error which states that the write was not run. */
  recordRefused(writeId: string): void {
    this.refused.add(writeId);
  }

  /** Writes that were acknowledged before a time. */
  getAcknowledgedBefore(timeMs: number): readonly string[] {
    return this.acknowledged
      .filter(({atMs}) => atMs < timeMs)
      .map(({writeId}) => writeId);
  }

  /** Checks that `instance` holds the writes that a read on it must see. */
  checkRead(instance: SimulatedInstance, required: readonly string[]): void {
    const held = new Set(instance.log.map(({writeId}) => writeId));
    for (const writeId of required) {
      if (!held.has(writeId)) {
        this.report(
          'staleRead',
          `${instance.entry.backendServer} lacks ${writeId}`,
        );
        return;
      }
    }
  }

  /** Checks that no replaced primary acknowledges a commit. */
  checkCommit(instance: SimulatedInstance): void {
    if (instance.term < this.currentTerm) {
      this.report(
        'acknowledgedByReplaced',
        `${instance.entry.backendServer} in term ${instance.term}`,
      );
    }
  }

  checkOrder({failoverLeader, fencingToken}: PromotionOrder): void {
    const leader = this.leaders.get(fencingToken);
    if (leader !== undefined && leader !== failoverLeader) {
      this.report('twoLeaders', `${leader} and ${failoverLeader}`);
    }
    if (fencingToken < this.highestToken) {
      this.report('lowerToken', `${fencingToken} after ${this.highestToken}`);
    }
    this.leaders.set(fencingToken, failoverLeader);
    this.highestToken = Math.max(this.highestToken, fencingToken);
  }

  /**
   * Checks that a promoted instance holds every acknowledged commit; `others` are
   * named if they hold the first one that is lost.
   */
  checkPromotion(
    target: SimulatedInstance,
    others: readonly SimulatedInstance[],
  ): void {
    const held = new Set(target.log.map(({writeId}) => writeId));
    for (const {writeId} of this.acknowledged) {
      if (!held.has(writeId)) {
        const holders = others
          .filter(({log}) => log.some(record => record.writeId === writeId))
          .map(({entry}) => entry.backendServer);
        this.report(
          'lostCommit',
          `${target.entry.backendServer} lacks ${writeId}, held by ${holders.join(' and ') || 'none'}`,
        );
        return;
      }
    }
  }

  recordPromotion(target: SimulatedInstance): void {
    this.currentTerm = target.term;
  }

  /** Checks the log of the primary at the end of a history. */
  checkFinalLog(leader: SimulatedInstance): void {
    const seen = new Set<string>();
    for (const {writeId} of leader.log) {
      if (seen.has(writeId)) {
        this.report('ranTwice', writeId);
      }
      if (this.refused.has(writeId)) {
        this.report('refusedButKept', writeId);
      }
      seen.add(writeId);
    }
  }

  /** Records a violation. */
  report(rule: Violation['rule'], detail: string): void {
    this.violations.push({rule, detail});
  }
}
