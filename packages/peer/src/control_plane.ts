import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {ConfigurationManager} from '@filbertrun/configuration/configuration_manager.js';
import {submitChange} from '@filbertrun/configuration/submit_change.js';
import {
  MembershipManager,
  type MembershipIdentity,
} from '@filbertrun/membership/membership_manager.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import {runInBackground} from '@filbertrun/observability/background_task.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {PlatformService} from '@filbertrun/platform/platform_service.js';
import {GroupViewTable} from './group_view_table.js';
import {PeerConfigurationSources} from './peer_configuration_sources.js';
import {PeerMembershipTransport} from './peer_membership_transport.js';
import type {
  ChangePrimaryResponse,
  ChangePrimaryRequest,
  GroupView,
  Heartbeat,
  InstanceHealth,
  PeerHandler,
  ProxyStatus,
  SuspicionResponse,
} from './peer_protocol.js';
import type {PeerTransport} from './peer_transport.js';

/**
 * The control plane of one proxy: configuration, membership, group views, and
 * the messages between proxies that carry them.
 *
 * @public
 */

/** Handles requests about the database groups of this proxy. @public */
export interface GroupDelegate {
  /**
   * Returns this proxy's observation of the primary of a database group,
   * whether or not it suspects the primary.
   */
  getSuspicion(
    databaseGroup: DatabaseGroupName,
    term: number,
  ): SuspicionResponse;
  /** Probes an instance and returns its health. */
  probeInstance(
    databaseGroup: DatabaseGroupName,
    backendServer: BackendServerId,
  ): Promise<InstanceHealth>;
  /** Holds new writes of a database group for `holdMs`; 0 resumes them. */
  holdWrites(databaseGroup: DatabaseGroupName, holdMs: number): void;
  /** Performs a planned change of primary. */
  changePrimary(request: ChangePrimaryRequest): Promise<ChangePrimaryResponse>;
}

/** Options of the control plane. @public */
export interface ControlPlaneOptions {
  readonly identity: MembershipIdentity;
  /** Wall-clock time at which the process started. */
  readonly startedAtEpochMs: number;
  readonly platform: PlatformService;
  readonly transport: PeerTransport;
  /** Peers to try if the platform's VM list is unavailable; may be empty. */
  readonly seedPeerUrls: readonly string[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Timeout of a call to a peer. */
const CALL_TIMEOUT_MS = 1000;

/** Minimum interval between two requests for all group views of a peer. */
const VIEWS_REQUEST_INTERVAL_MS = 5000;

/**
 * Time after a change of the group views in which announcements may still
 * resolve a difference between digests, so that no views are requested.
 */
const VIEWS_PROPAGATION_MS = 2000;

/** The control plane of one proxy. @public */
export class ControlPlane {
  readonly configuration: ConfigurationManager;
  readonly membership: MembershipManager;
  readonly groupViews = GroupViewTable.create();
  private groupDelegate: GroupDelegate | null = null;
  private lastViewsChangeAtMs: number;
  private lastViewsRequestAtMs: number;
  /** Refreshes of the configuration in progress after a stall. */
  private activeCatchUps = 0;

  private constructor(private readonly options: ControlPlaneOptions) {
    const {transport, clock} = options;
    this.lastViewsChangeAtMs = clock.nowMs();
    this.lastViewsRequestAtMs = clock.nowMs();
    this.membership = MembershipManager.create({
      ...options,
      directory: options.platform,
      transport: PeerMembershipTransport.create(transport, {
        createHeartbeat: message => this.createHeartbeat(message),
        handleResponse: heartbeat => this.handlePeerState(heartbeat),
      }),
    });
    this.configuration = ConfigurationManager.create({
      ...options,
      peers: PeerConfigurationSources.create(transport, this.membership),
    });
    this.configuration.onChange(() => this.membership.sendHeartbeatsNow());
    this.membership.onSuspended(() =>
      runInBackground(this.options.logger, 'catch-up', this.catchUp()),
    );
  }

  /** Creates the managers, which start to poll the platform and the peers. */
  static create(options: ControlPlaneOptions): ControlPlane {
    return new ControlPlane(options);
  }

  /**
   * Whether this proxy may send new work to backend servers: it has a
   * configuration, and if the process was stalled, it has refreshed the
   * configuration since. Checked before each statement, so it has to be cheap:
   * the check for a stall compares two numbers.
   */
  canDispatch(): boolean {
    const isReady = this.configuration.getReadiness() === 'ready';
    return isReady && this.activeCatchUps === 0 && !this.membership.isStalled();
  }

  /** Sets the handler of requests about the database groups of this proxy. */
  setGroupDelegate(delegate: GroupDelegate): void {
    this.groupDelegate = delegate;
  }

  /** Announces a new group view to all proxies. */
  announceGroupView(view: GroupView): void {
    this.applyGroupViews([view], null);
  }

  /**
   * Asks the proxies that monitor a database group, one per availability zone,
   * for their observation of its primary. Returns the responses that arrive
   * within the timeout.
   */
  async collectSuspicions(
    databaseGroup: DatabaseGroupName,
    term: number,
    timeoutMs: number,
  ): Promise<readonly SuspicionResponse[]> {
    const monitors = this.membership.getAssignment().getMonitors(databaseGroup);
    const responses = await Promise.all(
      monitors.map(entryVm =>
        this.askSuspicion(entryVm, databaseGroup, term, timeoutMs),
      ),
    );
    return responses.filter(response => response !== null);
  }

  /** Creates the implementation of the peer interface for this proxy. */
  createHandler(): PeerHandler {
    return {
      heartbeat: async heartbeat => this.handleHeartbeat(heartbeat),
      getMembers: async () => this.membership.getRecords(),
      askSilence: async ({entryVm}) => ({
        silentForMs: this.membership.getTimeSinceContactMs(entryVm),
      }),
      getConfigurationPointer: async () =>
        this.configuration.getPointerResponse(),
      getConfigurationBody: async ({objectName}) => ({
        body: this.configuration.getBody(objectName),
      }),
      askSuspicion: async ({databaseGroup, term}) =>
        this.getLocalSuspicion(databaseGroup, term),
      probeInstance: async ({databaseGroup, backendServer}) => ({
        health:
          (await this.groupDelegate?.probeInstance(
            databaseGroup,
            backendServer,
          )) ?? 'unknown',
      }),
      holdWrites: async ({databaseGroup, holdMs}) => {
        this.groupDelegate?.holdWrites(databaseGroup, holdMs);
        return {};
      },
      announceGroupViews: async ({views}) => {
        this.applyGroupViews(views, null);
        return {};
      },
      getGroupViews: async () => this.groupViews.getViews(),
      announceConfiguration: async ({version}) => {
        if (version > this.configuration.getVersion()) {
          await this.configuration.refresh();
        }
        return {};
      },
      submitChange: async request => {
        const response = await submitChange(request, this.options);
        await this.configuration.refresh();
        return response;
      },
      changePrimary: async request => this.changePrimary(request),
      getVersion: async () => ({
        entryVm: this.options.identity.entryVm,
        isReady: this.configuration.getReadiness() === 'ready',
        version: this.configuration.getVersion(),
      }),
      getStatus: async () => this.getStatus(),
    };
  }

  /** Stops the control plane; the last known state stays readable. */
  dispose(): void {
    this.configuration.dispose();
    this.membership.dispose();
  }

  private createHeartbeat(
    message: Pick<Heartbeat, 'sender' | 'membersDigest' | 'updates'>,
  ): Heartbeat {
    return {
      ...message,
      configurationVersion: this.configuration.getVersion(),
      groupViewsDigest: this.groupViews.getDigest(),
    };
  }

  private handleHeartbeat(heartbeat: Heartbeat): Heartbeat {
    const response = this.membership.handleHeartbeat(heartbeat);
    this.handlePeerState(heartbeat);
    return this.createHeartbeat(response);
  }

  /** Handles a peer's configuration version and digest of group views. */
  private handlePeerState(heartbeat: Heartbeat): void {
    const {sender, configurationVersion, groupViewsDigest} = heartbeat;
    this.configuration.handleAnnouncement(sender.entryVm, configurationVersion);
    const nowMs = this.options.clock.nowMs();
    const isRequestDue =
      nowMs - this.lastViewsRequestAtMs >= VIEWS_REQUEST_INTERVAL_MS &&
      nowMs - this.lastViewsChangeAtMs >= VIEWS_PROPAGATION_MS;
    if (groupViewsDigest !== this.groupViews.getDigest() && isRequestDue) {
      this.lastViewsRequestAtMs = nowMs;
      runInBackground(
        this.options.logger,
        'request of views',
        this.requestGroupViews(sender.peerUrl),
      );
    }
  }

  /**
   * Refreshes the configuration after a stall, because a drain may have
   * been accepted in the meantime.
   */
  private async catchUp(): Promise<void> {
    this.activeCatchUps++;
    try {
      await this.configuration.catchUp();
    } finally {
      this.activeCatchUps--;
    }
  }

  private async requestGroupViews(peerUrl: string): Promise<void> {
    const views = await this.options.transport.call(
      peerUrl,
      'getGroupViews',
      {},
      CALL_TIMEOUT_MS,
    );
    if (views.ok) {
      this.applyGroupViews(views.value, peerUrl);
    }
  }

  /** Merges views and forwards the new ones to the neighbours. */
  private applyGroupViews(
    views: readonly GroupView[],
    fromUrl: string | null,
  ): void {
    const newViews = this.groupViews.merge(views);
    if (newViews.length === 0) {
      return;
    }
    this.lastViewsChangeAtMs = this.options.clock.nowMs();
    for (const {peerUrl} of this.membership.getNeighbours()) {
      if (peerUrl !== fromUrl) {
        const {logger, transport} = this.options;
        const call = transport.call(
          peerUrl,
          'announceGroupViews',
          {views: newViews},
          CALL_TIMEOUT_MS,
        );
        runInBackground(logger, 'announcement of views', call);
      }
    }
  }

  private async askSuspicion(
    entryVm: string,
    databaseGroup: DatabaseGroupName,
    term: number,
    timeoutMs: number,
  ): Promise<SuspicionResponse | null> {
    if (entryVm === this.options.identity.entryVm) {
      return this.getLocalSuspicion(databaseGroup, term);
    }
    const member = this.membership.getMember(entryVm);
    if (member === null) {
      return null;
    }
    const response = await this.options.transport.call(
      member.peerUrl,
      'askSuspicion',
      {databaseGroup, term},
      timeoutMs,
    );
    return response.ok ? response.value : null;
  }

  private getLocalSuspicion(
    databaseGroup: DatabaseGroupName,
    term: number,
  ): SuspicionResponse {
    if (this.groupDelegate !== null) {
      return this.groupDelegate.getSuspicion(databaseGroup, term);
    }
    const {entryVm, availabilityZone} = this.options.identity;
    return {
      entryVm,
      availabilityZone,
      isWatching: false,
      term: this.groupViews.getView(databaseGroup)?.term ?? 0,
      primary: null,
      silentForMs: null,
      isSuspected: false,
    };
  }

  private async changePrimary(
    request: ChangePrimaryRequest,
  ): Promise<ChangePrimaryResponse> {
    if (this.groupDelegate === null) {
      return {kind: 'refused', reason: 'the proxy is starting'};
    }
    return this.groupDelegate.changePrimary(request);
  }

  private getStatus(): ProxyStatus {
    const self = this.membership.getSelf();
    return {
      entryVm: self.entryVm,
      availabilityZone: self.availabilityZone,
      incarnation: self.incarnation,
      isReady: this.configuration.getReadiness() === 'ready',
      isLeaving: self.state !== 'live',
      configuration: this.configuration.getVersionName(),
      members: this.membership.getRecords(),
      groupViews: this.groupViews.getViews(),
    };
  }
}
