import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {PrimaryChangeError} from '@filbertrun/group/group_error.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {
  ControlPlane,
  GroupDelegate,
} from '@filbertrun/peer/control_plane.js';
import type {
  ChangePrimaryResponse,
  ChangePrimaryRequest,
  InstanceHealth,
  SuspicionResponse,
} from '@filbertrun/peer/peer_protocol.js';
import type {ControlGroupPeers} from './control_group_peers.js';
import type {GroupRegistry} from './group_registry.js';
import type {GroupRuntime} from './group_runtime.js';

/**
 * Handles requests of other proxies and operators about the database groups of
 * this proxy.
 *
 * @public
 */
export class RegistryDelegate implements GroupDelegate {
  private constructor(
    private readonly registry: GroupRegistry,
    private readonly peers: ControlGroupPeers,
    private readonly control: ControlPlane,
  ) {}

  static create(
    registry: GroupRegistry,
    peers: ControlGroupPeers,
    control: ControlPlane,
  ): RegistryDelegate {
    return new RegistryDelegate(registry, peers, control);
  }

  getSuspicion(databaseGroup: DatabaseGroupName): SuspicionResponse {
    const {entryVm, availabilityZone} = this.control.membership.getSelf();
    const manager = this.registry.get(databaseGroup)?.manager ?? null;
    const primary = manager?.getPrimary()?.backendServer ?? null;
    return {
      entryVm,
      availabilityZone,
      isWatching: this.peers.getMonitorRank(databaseGroup) !== null,
      term: manager?.getTerm() ?? 0,
      primary,
      // Not measured here; `isSuspected` depends only on the known primary.
      silentForMs: null,
      isSuspected: primary === null,
    };
  }

  async probeInstance(
    databaseGroup: DatabaseGroupName,
    backendServer: BackendServerId,
  ): Promise<InstanceHealth> {
    const runtime = this.registry.get(databaseGroup);
    return runtime === null ? 'unknown' : runtime.manager.probe(backendServer);
  }

  holdWrites(databaseGroup: DatabaseGroupName, holdMs: number): void {
    this.peers.handleWriteHold(databaseGroup, holdMs);
  }

  async changePrimary(
    request: ChangePrimaryRequest,
  ): Promise<ChangePrimaryResponse> {
    const runtime = this.registry.get(request.databaseGroup);
    if (runtime === null) {
      return {kind: 'refused', reason: 'the database group does not exist'};
    }
    const target = request.backendServer ?? chooseTarget(runtime);
    if (target === null) {
      return {kind: 'refused', reason: 'no replica can become the primary'};
    }
    const changed = await runtime.manager.changePrimary(target);
    if (!changed.ok) {
      return describeChangeError(changed.error);
    }
    const {term, primary} = changed.value;
    // The duration of the write gap is recorded by `WriteGapMonitor`.
    return {kind: 'changed', term, primary, gapMs: null};
  }
}

/** Returns the available replica with the highest known log position. */
function chooseTarget(runtime: GroupRuntime): BackendServerId | null {
  let best: BackendServerId | null = null;
  let bestPosition = -1;
  for (const candidate of runtime.manager.getCandidates()) {
    const {position} = candidate.knownPosition;
    const isEligible = candidate.isAvailable && !candidate.isPrimary;
    if (isEligible && position > bestPosition) {
      best = candidate.server.backendServer;
      bestPosition = position;
    }
  }
  return best;
}

function describeChangeError(error: PrimaryChangeError): ChangePrimaryResponse {
  switch (error.kind) {
    case 'outcomeUnknown':
      return error;
    case 'unknownTarget':
      return {kind: 'refused', reason: 'the backend server does not exist'};
    case 'noPrimary':
      return {kind: 'refused', reason: 'no primary is known'};
    case 'targetBehind':
      return {kind: 'refused', reason: 'the target does not catch up'};
    case 'changeUnderWay':
      return {kind: 'refused', reason: 'another change is under way'};
    default:
      return exhaustiveSwitchError(error);
  }
}
