import type {PromotionOrder} from '../backend/instance_control.js';
import {DRAIN_MS, type SimulatedInstance} from './simulated_group.js';
import type {DisturbanceTracker} from './disturbance_tracker.js';

/** A promise that a history broke. @internal */
export interface Violation {
  readonly rule:
    | 'staleRead'
    | 'lostCommit'
    | 'twoHolders'
    | 'lowerToken'
    | 'acknowledgedByReplaced'
    | 'refusedButKept'
    | 'ranTwice'
    | 'wrongService'
    | 'usedAfterDrain'
    | 'lateConfiguration'
    | 'configurationRegressed'
    | 'notRecovered';
  readonly detail: string;
}

/** An acknowledged commit. */
interface AcknowledgedWrite {
  readonly writeId: string;
  readonly atMs: number;
}

/**
 * What must hold whatever fails, from what callers and the platform see: a
 * list of acknowledged writes, and the holder of each fencing token.
 *
 * @internal
 */
export class SafetyOracle {
  readonly violations: Violation[] = [];
  readonly acknowledged: AcknowledgedWrite[] = [];
  private readonly refused = new Set<string>();
  private readonly holders = new Map<number, string>();
  private highestToken = 0;
  private leadingTerm = 1;

  private constructor(private readonly disturbances: DisturbanceTracker) {}

  static create(touch: DisturbanceTracker): SafetyOracle {
    return new SafetyOracle(touch);
  }

  /** A caller's statement of `proxy` reached an instance. */
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

  /** Takes an acknowledgement that reached a caller. */
  recordAcknowledged(writeId: string, atMs: number): void {
    this.acknowledged.push({writeId, atMs});
  }

  /** Takes a refusal that says the write was not run. */
  recordRefused(writeId: string): void {
    this.refused.add(writeId);
  }

  /** Writes that were acknowledged before a time. */
  getAcknowledgedBefore(timeMs: number): readonly string[] {
    return this.acknowledged
      .filter(({atMs}) => atMs < timeMs)
      .map(({writeId}) => writeId);
  }

  /** A read ran on `instance` and had to see `required`. */
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

  /** A commit was acknowledged by an instance that leads `term`. */
  checkCommit(instance: SimulatedInstance): void {
    if (instance.term < this.leadingTerm) {
      this.report(
        'acknowledgedByReplaced',
        `${instance.entry.backendServer} in term ${instance.term}`,
      );
    }
  }

  checkOrder({dutyHolder, fencingToken}: PromotionOrder): void {
    const holder = this.holders.get(fencingToken);
    if (holder !== undefined && holder !== dutyHolder) {
      this.report('twoHolders', `${holder} and ${dutyHolder}`);
    }
    if (fencingToken < this.highestToken) {
      this.report('lowerToken', `${fencingToken} after ${this.highestToken}`);
    }
    this.holders.set(fencingToken, dutyHolder);
    this.highestToken = Math.max(this.highestToken, fencingToken);
  }

  /** The instance that takes the lead must hold every acknowledged commit. */
  checkPromotion(target: SimulatedInstance): void {
    const held = new Set(target.log.map(({writeId}) => writeId));
    for (const {writeId} of this.acknowledged) {
      if (!held.has(writeId)) {
        this.report(
          'lostCommit',
          `${target.entry.backendServer} lacks ${writeId}`,
        );
        return;
      }
    }
  }

  recordPromotion(target: SimulatedInstance): void {
    this.leadingTerm = target.term;
  }

  /** The log that remains at the end. */
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

  /** Takes a broken rule. */
  report(rule: Violation['rule'], detail: string): void {
    this.violations.push({rule, detail});
  }
}
