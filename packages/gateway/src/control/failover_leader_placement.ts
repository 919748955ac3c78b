import type {Clock} from '@filbertrun/base/clock.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import {chooseLeaderSuccessors} from '../failover/choose_leader_successor.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {PeerClient} from '../peer/peer_client.js';
import type {EntryVmRecord} from './control_record.js';
import type {FailoverLeaderLease} from './failover_leader_lease.js';

/** Dependencies of the placement of failover leadership. @public */
export interface FailoverLeaderPlacementOptions {
  readonly clock: Clock;
  readonly availabilityZone: AvailabilityZone;
  readonly leaderLease: FailoverLeaderLease;
  readonly peers: PeerClient;
  /**
   * Zones of all primaries; null while one is unknown, unreachable or draining.
   */
  findPrimaryZones(): readonly AvailabilityZone[] | null;
  getOtherEntryVms(): readonly EntryVmRecord[];
  /** Whether a promotion order of this process is under way. */
  hasOrderInFlight(): boolean;
  /** Digest of the primary records that this proxy knows. */
  computeDigest(): string;
}

/** Interval at which the failover leader looks for a successor. */
const CHECK_INTERVAL_MS = 1_000;

/** Maximum number of possible successors that are queried per check. */
const MAX_SUCCESSORS_ASKED = 2;

/**
 * Time without a primary change before leadership is transferred. Without it,
 * two proxies could promote instances in quick succession: the old leader and,
 * right after the transfer, its successor.
 */
const CHANGE_COOLDOWN_MS = 3_000;

/**
 * Transfers failover leadership to an availability zone with fewer primaries.
 * The successor must respond and know the same primary records. No primary may
 * be unknown, unreachable or draining, or have changed recently.
 *
 * @public
 */
export class FailoverLeaderPlacement {
  private checkedAtMs = Number.NEGATIVE_INFINITY;
  private primaryChangedAtMs = Number.NEGATIVE_INFINITY;
  private isTransferring = false;

  private constructor(
    private readonly options: FailoverLeaderPlacementOptions,
  ) {}

  static create(
    options: FailoverLeaderPlacementOptions,
  ): FailoverLeaderPlacement {
    return new FailoverLeaderPlacement(options);
  }

  /** Records that this proxy has just changed a primary. */
  recordPrimaryChange(): void {
    this.primaryChangedAtMs = this.options.clock.nowMs();
  }

  /**
   * Transfers leadership if this proxy is the leader and a proxy in a zone with
   * fewer primaries can take it over.
   */
  async maintain(): Promise<void> {
    const nowMs = this.options.clock.nowMs();
    const isDue = nowMs - this.checkedAtMs >= CHECK_INTERVAL_MS;
    const isCooledDown = nowMs - this.primaryChangedAtMs >= CHANGE_COOLDOWN_MS;
    if (this.isTransferring || !isDue || !isCooledDown) {
      return;
    }
    this.checkedAtMs = nowMs;
    const successors = this.findSuccessors();
    this.isTransferring = true;
    try {
      for (const successor of successors.slice(0, MAX_SUCCESSORS_ASKED)) {
        if (await this.transferTo(successor)) {
          return;
        }
      }
    } finally {
      this.isTransferring = false;
    }
  }

  private findSuccessors(): readonly EntryVmRecord[] {
    const {leaderLease, availabilityZone, getOtherEntryVms} = this.options;
    const primaryZones = this.options.findPrimaryZones();
    return leaderLease.getFencingToken() === null || primaryZones === null
      ? []
      : chooseLeaderSuccessors({
          localZone: availabilityZone,
          primaryZones,
          otherEntryVms: getOtherEntryVms(),
        });
  }

  private async transferTo(successor: EntryVmRecord): Promise<boolean> {
    const {peers, leaderLease, computeDigest, findPrimaryZones} = this.options;
    const response = await peers.compareRecords(successor);
    const isReady = response.ok && response.value.digest === computeDigest();
    const isChanging =
      findPrimaryZones() === null || this.options.hasOrderInFlight();
    if (!isReady || isChanging) {
      return false;
    }
    const fencingToken = leaderLease.beginTransfer(
      `${successor.entryVm} is in a zone with fewer primaries`,
    );
    if (fencingToken !== null) {
      await peers.handOverDuty(successor, {fencingToken});
    }
    return true;
  }
}

/**
 * Returns the zones of all primaries; null while one is unknown, unreachable or
 * draining.
 *
 * @public
 */
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
