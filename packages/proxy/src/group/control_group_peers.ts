import type {
  GroupPeers,
  GroupView,
  SuspicionVote,
} from '@filbertrun/group/group_peers.js';
import type {MemberRecord} from '@filbertrun/membership/member.js';
import {computeHash} from '@filbertrun/membership/rendezvous.js';
import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {ControlPlane} from '@filbertrun/peer/control_plane.js';
import type {PeerTransport} from '@filbertrun/peer/peer_transport.js';

/**
 * Maximum number of monitors with a rank, which poll all instances of a group.
 * Each monitor is in a different availability zone; those without a rank only
 * vote on suspicions.
 */
const MAX_MONITORS = 3;

/**
 * Timeout of a message that starts or ends a write hold: during a planned change
 * of primary, the proxies delay new writes.
 */
const WRITE_HOLD_TIMEOUT_MS = 500;

type WriteHoldListener = (holdMs: number) => void;

/**
 * Communication of the database groups with the other proxies, over the
 * control plane.
 *
 * @public
 */
export class ControlGroupPeers implements GroupPeers {
  private readonly writeHoldListeners = new Map<
    DatabaseGroupName,
    Set<WriteHoldListener>
  >();

  /** Monitors by group; cleared when the membership changes. */
  private readonly monitors = new Map<DatabaseGroupName, readonly string[]>();
  private knownZones: readonly AvailabilityZone[] | null = null;

  private constructor(
    private readonly control: ControlPlane,
    private readonly transport: PeerTransport,
  ) {
    const clearCaches = () => {
      this.monitors.clear();
      this.knownZones = null;
    };
    control.membership.onChange(clearCaches);
    control.membership.onSuspended(clearCaches);
  }

  static create(
    control: ControlPlane,
    transport: PeerTransport,
  ): ControlGroupPeers {
    return new ControlGroupPeers(control, transport);
  }

  /**
   * Asks the monitors of the group, one per availability zone, to probe an
   * instance. Monitors that do not respond are left out.
   */
  async collectVotes(
    databaseGroup: DatabaseGroupName,
    backendServer: BackendServerId,
    timeoutMs: number,
  ): Promise<readonly SuspicionVote[]> {
    const pendingVotes: Promise<SuspicionVote | null>[] = [];
    for (const entryVm of this.getMonitors(databaseGroup)) {
      const member = this.control.membership.getMember(entryVm);
      if (member !== null) {
        const input = {databaseGroup, backendServer};
        pendingVotes.push(this.collectVote(member, input, timeoutMs));
      }
    }
    const votes = await Promise.all(pendingVotes);
    return votes.filter(vote => vote !== null);
  }

  announceView(view: GroupView): void {
    const {databaseGroup, term, primary} = view;
    this.control.announceGroupView({databaseGroup, term, primary});
  }

  onView(
    databaseGroup: DatabaseGroupName,
    listener: (view: GroupView) => void,
  ): () => void {
    return this.control.groupViews.onView(view => {
      const {term, primary} = view;
      if (view.databaseGroup === databaseGroup && primary !== null) {
        // The announcement does not include the claim of the term.
        listener({databaseGroup, term, claimId: null, primary});
      }
    });
  }

  announceWriteHold(databaseGroup: DatabaseGroupName, holdMs: number): void {
    this.handleWriteHold(databaseGroup, holdMs);
    const {membership} = this.control;
    const self = membership.getSelf().entryVm;
    for (const {entryVm, peerUrl} of membership.getPresentMembers()) {
      if (entryVm !== self) {
        const input = {databaseGroup, holdMs};
        void this.transport.call(
          peerUrl,
          'holdWrites',
          input,
          WRITE_HOLD_TIMEOUT_MS,
        );
      }
    }
  }

  onWriteHold(
    databaseGroup: DatabaseGroupName,
    listener: WriteHoldListener,
  ): () => void {
    const listeners =
      this.writeHoldListeners.get(databaseGroup) ??
      new Set<WriteHoldListener>();
    listeners.add(listener);
    this.writeHoldListeners.set(databaseGroup, listeners);
    return () => listeners.delete(listener);
  }

  /**
   * Applies a write hold that this or another proxy announced. Zero releases
   * the writes.
   */
  handleWriteHold(databaseGroup: DatabaseGroupName, holdMs: number): void {
    for (const listener of this.writeHoldListeners.get(databaseGroup) ?? []) {
      listener(holdMs);
    }
  }

  /** Returns the rank of this proxy among the monitors, or null for none. */
  getMonitorRank(databaseGroup: DatabaseGroupName): number | null {
    const {entryVm} = this.control.membership.getSelf();
    const rank = this.getMonitors(databaseGroup).indexOf(entryVm);
    return rank < 0 || rank >= MAX_MONITORS ? null : rank;
  }

  getKnownZones(): readonly AvailabilityZone[] {
    this.knownZones ??= this.collectZones();
    return this.knownZones;
  }

  private collectZones(): readonly AvailabilityZone[] {
    const zones = new Set<AvailabilityZone>();
    for (const {availabilityZone} of this.control.membership.getRecords()) {
      zones.add(availabilityZone);
    }
    return [...zones];
  }

  /**
   * Returns one proxy per zone. Proxies with the same membership compute the
   * same order.
   */
  private getMonitors(databaseGroup: DatabaseGroupName): readonly string[] {
    const known = this.monitors.get(databaseGroup);
    if (known !== undefined) {
      return known;
    }
    const monitors = this.computeMonitors(databaseGroup);
    this.monitors.set(databaseGroup, monitors);
    return monitors;
  }

  private computeMonitors(databaseGroup: DatabaseGroupName): readonly string[] {
    const assignment = this.control.membership.getAssignment();
    const monitors = [...assignment.getMonitors(databaseGroup)];
    const getHash = (entryVm: string): number =>
      computeHash(`rank/${databaseGroup}/${entryVm}`);
    return monitors.sort((left, right) => getHash(left) - getHash(right));
  }

  private async collectVote(
    member: MemberRecord,
    input: {
      readonly databaseGroup: DatabaseGroupName;
      readonly backendServer: BackendServerId;
    },
    timeoutMs: number,
  ): Promise<SuspicionVote | null> {
    const response = await this.transport.call(
      member.peerUrl,
      'probeInstance',
      input,
      timeoutMs,
    );
    if (!response.ok) {
      return null;
    }
    const {entryVm, availabilityZone} = member;
    return {entryVm, availabilityZone, health: response.value.health};
  }
}
