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
 * Maximum number of proxies that monitor a group, each in a different
 * availability zone.
 */
const MAX_WATCHERS = 3;

/** Timeout of a message that starts or ends a write hold. */
const HOLD_TIMEOUT_MS = 500;

type HoldListener = (holdMs: number) => void;

/**
 * Communication of the database groups with the other proxies, over the
 * control plane.
 *
 * @public
 */
export class ControlGroupPeers implements GroupPeers {
  private readonly holdListeners = new Map<
    DatabaseGroupName,
    Set<HoldListener>
  >();

  /** Watchers by group; cleared when the membership changes. */
  private readonly watchers = new Map<DatabaseGroupName, readonly string[]>();
  private knownZones: readonly AvailabilityZone[] | null = null;

  private constructor(
    private readonly control: ControlPlane,
    private readonly transport: PeerTransport,
  ) {
    const clearCaches = () => {
      this.watchers.clear();
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
   * Asks the watchers of the group, one per availability zone, to probe an
   * instance. Watchers that do not respond are left out.
   */
  async collectVotes(
    databaseGroup: DatabaseGroupName,
    backendServer: BackendServerId,
    timeoutMs: number,
  ): Promise<readonly SuspicionVote[]> {
    const pendingVotes: Promise<SuspicionVote | null>[] = [];
    for (const entryVm of this.getWatchers(databaseGroup)) {
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
        listener({databaseGroup, term, claimId: null, primary});
      }
    });
  }

  announceWriteHold(databaseGroup: DatabaseGroupName, holdMs: number): void {
    this.handleHold(databaseGroup, holdMs);
    const {membership} = this.control;
    const self = membership.getSelf().entryVm;
    for (const {entryVm, peerUrl} of membership.getPresentMembers()) {
      if (entryVm !== self) {
        const input = {databaseGroup, holdMs};
        void this.transport.call(peerUrl, 'holdWrites', input, HOLD_TIMEOUT_MS);
      }
    }
  }

  onWriteHold(
    databaseGroup: DatabaseGroupName,
    listener: HoldListener,
  ): () => void {
    const listeners =
      this.holdListeners.get(databaseGroup) ?? new Set<HoldListener>();
    listeners.add(listener);
    this.holdListeners.set(databaseGroup, listeners);
    return () => listeners.delete(listener);
  }

  /**
   * Applies a write hold that this or another proxy announced. Zero releases
   * the writes.
   */
  handleHold(databaseGroup: DatabaseGroupName, holdMs: number): void {
    for (const listener of this.holdListeners.get(databaseGroup) ?? []) {
      listener(holdMs);
    }
  }

  getMonitorRank(databaseGroup: DatabaseGroupName): number | null {
    const {entryVm} = this.control.membership.getSelf();
    const rank = this.getWatchers(databaseGroup).indexOf(entryVm);
    return rank < 0 || rank >= MAX_WATCHERS ? null : rank;
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
  private getWatchers(databaseGroup: DatabaseGroupName): readonly string[] {
    const known = this.watchers.get(databaseGroup);
    if (known !== undefined) {
      return known;
    }
    const watchers = this.computeWatchers(databaseGroup);
    this.watchers.set(databaseGroup, watchers);
    return watchers;
  }

  private computeWatchers(databaseGroup: DatabaseGroupName): readonly string[] {
    const assignment = this.control.membership.getAssignment();
    const watchers = [...assignment.getMonitors(databaseGroup)];
    const getOrder = (entryVm: string): number =>
      computeHash(`rank/${databaseGroup}/${entryVm}`);
    return watchers.sort((left, right) => getOrder(left) - getOrder(right));
  }

  private async collectVote(
    member: MemberRecord,
    input: {
      readonly databaseGroup: DatabaseGroupName;
      readonly backendServer: BackendServerId;
    },
    timeoutMs: number,
  ): Promise<SuspicionVote | null> {
    const answer = await this.transport.call(
      member.peerUrl,
      'probeInstance',
      input,
      timeoutMs,
    );
    if (!answer.ok) {
      return null;
    }
    const {entryVm, availabilityZone} = member;
    return {entryVm, availabilityZone, health: answer.value.health};
  }
}
