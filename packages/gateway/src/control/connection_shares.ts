import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import {
  computeConnectionShare,
  ORPHANED_CONNECTIONS_MS,
} from './compute_connection_share.js';
import {
  computeZoneShare,
  isAccessShared,
  type ZoneDistance,
  type ZoneShareInputs,
} from './compute_zone_share.js';
import type {EntryVmRecord} from './control_record.js';
import type {EntryVmRegistration} from './entry_vm_registration.js';
import type {ZoneRegions} from './zone_regions.js';

/** Dependencies of {@link ConnectionShares}. @public */
export interface ConnectionSharesOptions {
  readonly clock: Clock;
  readonly availabilityZone: AvailabilityZone;
  readonly zoneRegions: ZoneRegions;
  readonly events: GatewayEventRecorder;
  readonly registration: Pick<
    EntryVmRegistration,
    'getEntryVms' | 'getOtherEntryVms' | 'hasPredecessor'
  >;
  readonly groups: ReadonlyMap<string, GroupRuntime>;
  /** Whether this proxy can forward operations to others. */
  readonly canForward: boolean;
  getConfiguration(): ServiceConfiguration | null;
  /** Whether the registrations have been read since process start. */
  hasRegistrations(): boolean;
  /** Whether this proxy holds the connections to a group for its zone. */
  isHolder(databaseGroup: string): boolean;
}

/** Connections of a proxy that is not the holder of a group with shared access. */
const FOLLOWER_CONNECTIONS = 1;

/** Access of this proxy to the instances of a group. */
interface Access {
  readonly isShared: boolean;
  readonly isHolder: boolean;
  /** Connections to an instance in this proxy's availability zone. */
  readonly maxConnections: number;
  /** Connections to an instance by its zone. */
  readonly getMaxConnections: (instanceZone: AvailabilityZone) => number;
}

/** Limits this proxy's connections to each instance to its share. @public */
export class ConnectionShares {
  private readonly startedAtMs: number;
  private readonly accesses = new Map<string, Access>();
  private timer: Timer | null = null;

  private constructor(private readonly options: ConnectionSharesOptions) {
    this.startedAtMs = options.clock.nowMs();
  }

  static create(options: ConnectionSharesOptions): ConnectionShares {
    return new ConnectionShares(options);
  }

  /** Schedules a recomputation for when no orphaned connections can be left. */
  start(): void {
    const {clock} = this.options;
    this.timer = clock.startTimer(ORPHANED_CONNECTIONS_MS, () => this.apply());
  }

  dispose(): void {
    this.timer?.cancel();
  }

  /**
   * Recomputes the shares. Until the registrations have been read, each group
   * keeps its initial limit of one connection per instance.
   */
  apply(): void {
    const {registration, groups, getConfiguration} = this.options;
    if (!this.options.hasRegistrations()) {
      return;
    }
    const others = registration.getOtherEntryVms();
    const configuration = getConfiguration();
    for (const [databaseGroup, group] of groups) {
      const settings = configuration?.databaseGroups.get(databaseGroup);
      if (settings !== undefined) {
        const {maxConnections} = settings;
        const access = this.computeAccess(
          databaseGroup,
          {
            maxConnections,
            hasCustomers: (configuration?.customers ?? null) !== null,
          },
          others,
        );
        this.applyAccess(group, access);
      }
    }
  }

  private computeAccess(
    databaseGroup: string,
    {
      maxConnections,
      hasCustomers,
    }: Pick<ZoneShareInputs, 'maxConnections' | 'hasCustomers'>,
    others: readonly EntryVmRecord[],
  ): Access {
    const {registration, canForward, isHolder} = this.options;
    const entryVmCount = others.length + 1;
    const mayHaveOrphans = this.mayHaveOrphans();
    const zones = listZones(registration.getEntryVms());
    const inputs = {
      maxConnections,
      entryVmCount,
      directEntryVmCount: countDirect(others),
      hasCustomers,
      zoneCount: Math.max(1, zones.size),
      mayHaveOrphans,
    };
    const wasShared = this.accesses.get(databaseGroup)?.isShared ?? false;
    if (!canForward || !isAccessShared(inputs, wasShared)) {
      const share = computeConnectionShare({
        maxConnections,
        entryVmCount,
        mayHaveOrphans,
      });
      return this.createAccess(false, false, () => share);
    }
    return isHolder(databaseGroup)
      ? this.createAccess(true, true, instanceZone =>
          computeZoneShare(inputs, this.getDistance(instanceZone, zones)),
        )
      : this.createAccess(true, false, () => FOLLOWER_CONNECTIONS);
  }

  private createAccess(
    isShared: boolean,
    isHolder: boolean,
    getMaxConnections: Access['getMaxConnections'],
  ): Access {
    const maxConnections = getMaxConnections(this.options.availabilityZone);
    return {isShared, isHolder, maxConnections, getMaxConnections};
  }

  /** Returns where this proxy's zone is relative to an instance. */
  private getDistance(
    instanceZone: AvailabilityZone,
    zones: ReadonlySet<AvailabilityZone>,
  ): ZoneDistance {
    const {zoneRegions, availabilityZone} = this.options;
    return {
      farZoneCount: zoneRegions.countApart(instanceZone, zones),
      isFar: zoneRegions.areApart(instanceZone, availabilityZone),
    };
  }

  private applyAccess(group: GroupRuntime, access: Access): void {
    const {databaseGroup} = group;
    const known = this.accesses.get(databaseGroup);
    group.setSharedAccess(access.isShared);
    group.setHolder(access.isHolder);
    group.setConnectionLimits(access.getMaxConnections);
    this.accesses.set(databaseGroup, access);
    const wasShared = known?.isShared ?? false;
    const hasChanged =
      access.isShared !== wasShared ||
      (access.isShared &&
        (access.isHolder !== known?.isHolder ||
          access.maxConnections !== known.maxConnections));
    if (hasChanged) {
      this.options.events.record({
        kind: 'accessChanged',
        databaseGroup,
        isShared: access.isShared,
        isHolder: access.isHolder,
        maxConnections: access.maxConnections,
      });
    }
  }

  /**
   * Whether orphaned connections of the previous process may still count
   * against the limits of instances.
   */
  private mayHaveOrphans(): boolean {
    const {clock, registration} = this.options;
    const uptimeMs = clock.nowMs() - this.startedAtMs;
    return registration.hasPredecessor && uptimeMs < ORPHANED_CONNECTIONS_MS;
  }
}

/** Counts the proxies that do not accept forwarded operations. */
function countDirect(entryVms: readonly EntryVmRecord[]): number {
  return entryVms.filter(({forwardPort}) => forwardPort === undefined).length;
}

function listZones(
  entryVms: readonly EntryVmRecord[],
): ReadonlySet<AvailabilityZone> {
  return new Set(entryVms.map(({availabilityZone}) => availabilityZone));
}
