import type {Clock} from '@filbertrun/base/clock.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import {chooseDutySuccessors} from '../failover/choose_duty_successor.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {PeerCaller} from '../peer/peer_caller.js';
import type {EntryVmRecord} from './control_record.js';
import type {FailoverDutyLease} from './failover_duty_lease.js';

/** What a placement needs of the process. @public */
export interface DutyPlacementOptions {
  readonly clock: Clock;
  readonly availabilityZone: AvailabilityZone;
  readonly duty: FailoverDutyLease;
  readonly peers: PeerCaller;
  /** Zones of all primaries; null while one of them is in doubt. */
  findPrimaryZones(): readonly AvailabilityZone[] | null;
  getOtherEntryVms(): readonly EntryVmRecord[];
  /** Digest of the records of primaries that this proxy knows. */
  computeDigest(): string;
}

/** Interval at which the holder asks whether another proxy is better placed. */
const LOOK_INTERVAL_MS = 1_000;

/** Proxies that are asked at one time. */
const MAX_ASKED = 2;

/**
 * Time without a change of primary before the duty is passed on, so that two
 * proxies do not promote shortly after one another without need.
 */
const CALM_BEFORE_MS = 3_000;

/**
 * Passes the failover duty on to an availability zone with fewer primaries.
 * Only a proxy that answers and knows the same primaries gets it, and only
 * while nothing is being changed.
 *
 * @public
 */
export class DutyPlacement {
  private lookedAtMs = Number.NEGATIVE_INFINITY;
  private changedAtMs = Number.NEGATIVE_INFINITY;
  private isAsking = false;

  private constructor(private readonly options: DutyPlacementOptions) {}

  static create(options: DutyPlacementOptions): DutyPlacement {
    return new DutyPlacement(options);
  }

  /** Takes note that this proxy has changed a primary just now. */
  noteChange(): void {
    this.changedAtMs = this.options.clock.nowMs();
  }

  /** Passes the duty on if this proxy holds it and another one is better placed. */
  async maintain(): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    const isDue = nowMs - this.lookedAtMs >= LOOK_INTERVAL_MS;
    const isCalm = nowMs - this.changedAtMs >= CALM_BEFORE_MS;
    if (this.isAsking || !isDue || !isCalm) {
      return;
    }
    this.lookedAtMs = nowMs;
    const successors = this.findSuccessors();
    this.isAsking = true;
    for (const successor of successors.slice(0, MAX_ASKED)) {
      if (await this.passOn(successor)) {
        break;
      }
    }
    this.isAsking = false;
  }

  private findSuccessors(): readonly EntryVmRecord[] {
    const {duty, availabilityZone, getOtherEntryVms} = this.options;
    const primaryZones = this.options.findPrimaryZones();
    return duty.getFencingToken() === null || primaryZones === null
      ? []
      : chooseDutySuccessors({
          ownZone: availabilityZone,
          primaryZones,
          otherEntryVms: getOtherEntryVms(),
        });
  }

  private async passOn(successor: EntryVmRecord): Promise<boolean> {
    const {peers, duty, computeDigest, findPrimaryZones} = this.options;
    const answer = await peers.compareRecords(successor);
    const isReady = answer.ok && answer.value.digest === computeDigest();
    if (!isReady || findPrimaryZones() === null) {
      return false;
    }
    const fencingToken = duty.passOn(
      `${successor.entryVm} is in a zone with fewer primaries`,
    );
    if (fencingToken !== null) {
      await peers.handOverDuty(successor, {fencingToken});
    }
    return true;
  }
}

/** Zones of all primaries; null while one is unknown, unreachable or leaving. @public */
export function findPrimaryZones(
  groups: readonly GroupRuntime[],
): readonly AvailabilityZone[] | null {
  const zones: AvailabilityZone[] = [];
  for (const group of groups) {
    const primary = group.getLeasedPrimary();
    if (primary === null || primary.isUnreachable) {
      return null;
    }
    if (primary.entry.state !== 'active') {
      return null;
    }
    zones.push(primary.entry.availabilityZone);
  }
  return zones;
}
