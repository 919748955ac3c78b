import type {Clock} from '@filbertrun/base/clock.js';
import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';
import type {BackendServerRuntime} from '../group/backend_server_runtime.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import {runInBackground} from '../observability/background_task.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import {findUnreachableZones} from './find_unreachable_zones.js';
import {decideReadiness, type Readiness} from './readiness.js';

/** Dependencies of the monitor. @public */
export interface ReadinessMonitorOptions {
  readonly clock: Clock;
  readonly availabilityZone: AvailabilityZone;
  readonly events: GatewayEventRecorder;
  getGroups(): readonly GroupRuntime[];
  hasConfiguration(): boolean;
  /** Time since another proxy responded to a relayed call. */
  getMsSincePeerResponse(): number;
}

/** Interval of the probes of other zones while a zone is unreachable. */
const ZONE_PROBE_INTERVAL_MS = 500;

/** Time without a peer response after which peers count as unresponsive. */
const PEER_RESPONSE_TIMEOUT_MS = 2_000;

/** Tracks whether this proxy should receive new callers. @public */
export class ReadinessMonitor {
  private readiness: Readiness = {isReady: false, reason: 'starting'};
  private isStopping = false;
  private isolatedSinceMs: number | null = null;
  private probedZonesAtMs = Number.NEGATIVE_INFINITY;
  private readonly startedAtMs: number;
  private changedAtMs: number;
  private lastPrimaryAtMs: number;

  private constructor(private readonly options: ReadinessMonitorOptions) {
    this.startedAtMs = options.clock.nowMs();
    this.changedAtMs = this.startedAtMs;
    this.lastPrimaryAtMs = this.startedAtMs;
  }

  static create(options: ReadinessMonitorOptions): ReadinessMonitor {
    return new ReadinessMonitor(options);
  }

  get isReady(): boolean {
    return this.readiness.isReady;
  }

  /** Time for which the proxy has not been ready, 0 while it is. */
  getUnreadyMs(): number {
    return this.readiness.isReady
      ? 0
      : this.options.clock.nowMs() - this.changedAtMs;
  }

  markStopping(): void {
    this.isStopping = true;
  }

  /** Re-evaluates readiness and records an event if it changed. */
  update(): Readiness {
    const {clock, events} = this.options;
    const nowMs = clock.nowMs();
    const counts = this.countUsableGroups();
    if (counts.groupsWithPrimary > 0) {
      this.lastPrimaryAtMs = nowMs;
    }
    const readiness = decideReadiness({
      ...counts,
      isStopping: this.isStopping,
      hasConfiguration: this.options.hasConfiguration(),
      groupCount: this.options.getGroups().length,
      uptimeMs: nowMs - this.startedAtMs,
      withoutPrimaryMs: nowMs - this.lastPrimaryAtMs,
      isolatedMs: this.measureIsolatedMs(),
      hasNoPeerResponse:
        this.options.getMsSincePeerResponse() >= PEER_RESPONSE_TIMEOUT_MS,
    });
    if (readiness.isReady !== this.readiness.isReady) {
      this.changedAtMs = nowMs;
      events.record({kind: 'readinessChanged', ...readiness});
    }
    this.readiness = readiness;
    return readiness;
  }

  private countUsableGroups() {
    let groupsWithPrimary = 0;
    let groupsWithServer = 0;
    for (const group of this.options.getGroups()) {
      const primary = group.getLeasedPrimary();
      if (primary !== null && !primary.isUnreachable) {
        groupsWithPrimary++;
      }
      if (group.getServers().some(server => !server.isUnreachable)) {
        groupsWithServer++;
      }
    }
    return {groupsWithPrimary, groupsWithServer};
  }

  /** Time for which every other availability zone has been unreachable. */
  private measureIsolatedMs(): number {
    const servers = this.options
      .getGroups()
      .flatMap(group => group.getServers());
    const reachability = findUnreachableZones(
      servers.map(server => ({
        availabilityZone: server.entry.availabilityZone,
        unreachableSinceMs: server.unreachableSinceMs,
        lastResponseAtMs: server.lastResponseAtMs,
      })),
      this.options.availabilityZone,
    );
    if (reachability.unreachable.length === 0) {
      this.isolatedSinceMs = null;
      return 0;
    }
    if (reachability.presumedReachable.length > 0) {
      this.isolatedSinceMs = null;
      this.probeZones(servers, reachability.presumedReachable);
      return 0;
    }
    const nowMs = this.options.clock.nowMs();
    this.isolatedSinceMs ??= nowMs;
    return nowMs - this.isolatedSinceMs;
  }

  /** Probes one server in each of the given zones, rate-limited. */
  private probeZones(
    servers: readonly BackendServerRuntime[],
    zones: readonly AvailabilityZone[],
  ): void {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - this.probedZonesAtMs < ZONE_PROBE_INTERVAL_MS) {
      return;
    }
    this.probedZonesAtMs = nowMs;
    for (const zone of zones) {
      const server = servers.find(({entry}) => entry.availabilityZone === zone);
      if (server !== undefined) {
        runInBackground(this.options.events, 'probe', server.probe());
      }
    }
  }
}
