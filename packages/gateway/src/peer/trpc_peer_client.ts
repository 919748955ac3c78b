import {failure, success, type Result} from '@filbertrun/base/result.js';
import {createTRPCClient, httpLink} from '@trpc/client';
import {createHttpFetch, type HttpTimeouts} from './http_fetch.js';
import {
  getTrafficLocality,
  type TrafficMeter,
} from '../observability/traffic_meter.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {PermitExchange, PermitGrants} from '../quota/permit_exchange.js';
import type {RevisedPrimaryRecord} from '../group/primary_record.js';
import type {
  ConditionalWrite,
  PlatformError,
  TableEntry,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {ControlRelay} from './control_relay.js';
import type {
  LeadershipTransfer,
  PeerClient,
  PeerError,
  PositionAnswer,
  PositionRequest,
  ReachabilityAnswer,
  ReachabilityRequest,
  RecordComparison,
  ReleaseAnswer,
  ReleaseRequest,
  SuspicionReport,
} from './peer_client.js';
import type {PeerRouter} from './peer_router.js';
import {FOLLOW_WAIT_MS} from '../zone/zone_follower.js';
import {decodeZoneUpdate} from '../zone/zone_update_codec.js';
import type {ZoneUpdate, ZoneUpdateRequest} from '../zone/zone_update.js';

/** Timeout of a call, after which the other proxy counts as unreachable. */
const CALL_TIMEOUT_MS = 400;

/** Longest time between two pieces of a response with table rows. */
const STALL_TIMEOUT_MS = 1_000;

const CALL_TIMEOUTS: HttpTimeouts = {timeoutMs: CALL_TIMEOUT_MS};

/** For a read of tables that is answered at once; its response may be large. */
const READ_TIMEOUTS: HttpTimeouts = {
  timeoutMs: CALL_TIMEOUT_MS,
  stallTimeoutMs: STALL_TIMEOUT_MS,
};

/** For a long poll of a zone reader. */
const FOLLOW_TIMEOUTS: HttpTimeouts = {
  timeoutMs: FOLLOW_WAIT_MS + CALL_TIMEOUT_MS,
  stallTimeoutMs: STALL_TIMEOUT_MS,
};

const STORE_UNREACHABLE_VIA_PEER: PlatformError = {
  kind: 'unavailable',
  reason: 'the other proxy cannot reach the store either',
};

/** Options of {@link TrpcPeerClient}. @public */
export interface TrpcPeerClientOptions {
  /** Availability zone of this proxy. */
  readonly availabilityZone: string;
  readonly traffic: TrafficMeter;
}

type TrpcClient = ReturnType<typeof createTRPCClient<PeerRouter>>;

/** Sends requests to other proxies with tRPC over HTTP. @public */
export class TrpcPeerClient implements PeerClient, ControlRelay {
  /** Clients by their timeouts, then by the URL of the other proxy. */
  private readonly clients = new Map<HttpTimeouts, Map<string, TrpcClient>>();

  private constructor(private readonly options: TrpcPeerClientOptions) {}

  static create(options: TrpcPeerClientOptions): TrpcPeerClient {
    return new TrpcPeerClient(options);
  }

  release(
    peer: EntryVmRecord,
    request: ReleaseRequest,
  ): Promise<Result<ReleaseAnswer, PeerError>> {
    return this.call(() => this.getClient(peer).release.mutate(request));
  }

  announce(
    peer: EntryVmRecord,
    record: RevisedPrimaryRecord,
  ): Promise<Result<void, PeerError>> {
    return this.call(() => this.getClient(peer).announce.mutate(record));
  }

  reportSuspicion(
    peer: EntryVmRecord,
    report: SuspicionReport,
  ): Promise<Result<void, PeerError>> {
    return this.call(() => this.getClient(peer).reportSuspicion.mutate(report));
  }

  askReach(
    peer: EntryVmRecord,
    request: ReachabilityRequest,
  ): Promise<Result<ReachabilityAnswer, PeerError>> {
    return this.call(() => this.getClient(peer).askReach.query(request));
  }

  handOverDuty(
    peer: EntryVmRecord,
    transfer: LeadershipTransfer,
  ): Promise<Result<void, PeerError>> {
    return this.call(() => this.getClient(peer).handOverDuty.mutate(transfer));
  }

  compareRecords(
    peer: EntryVmRecord,
  ): Promise<Result<RecordComparison, PeerError>> {
    return this.call(() => this.getClient(peer).compareRecords.query());
  }

  askPosition(
    peer: EntryVmRecord,
    request: PositionRequest,
  ): Promise<Result<PositionAnswer | null, PeerError>> {
    return this.call(() => this.getClient(peer).askPosition.query(request));
  }

  exchangePermits(
    peer: EntryVmRecord,
    exchange: PermitExchange,
  ): Promise<Result<PermitGrants | null, PeerError>> {
    return this.call(() =>
      this.getClient(peer).exchangePermits.mutate(exchange),
    );
  }

  async followZone(
    peer: EntryVmRecord,
    request: ZoneUpdateRequest,
  ): Promise<Result<ZoneUpdate | null, PeerError>> {
    const timeouts = request.waitMs === 0 ? READ_TIMEOUTS : FOLLOW_TIMEOUTS;
    const response = await this.call(() =>
      this.getClient(peer, timeouts).followZone.query(request),
    );
    if (!response.ok || response.value === null) {
      return response.ok ? success(null) : response;
    }
    const update = decodeZoneUpdate(response.value);
    return update === null
      ? failure({
          kind: 'unreachable',
          reason: 'the response could not be decoded',
        })
      : success(update);
  }

  async listControl(
    peer: EntryVmRecord,
  ): Promise<Result<Result<TableListing, PlatformError>, PeerError>> {
    const response = await this.call(() =>
      this.getClient(peer, READ_TIMEOUTS).listControl.query(),
    );
    if (!response.ok) {
      return response;
    }
    if (!response.value.ok) {
      return success(failure(STORE_UNREACHABLE_VIA_PEER));
    }
    const {entries, revision, storeTimeMs} = response.value;
    return success(success({entries: new Map(entries), revision, storeTimeMs}));
  }

  async putControl(
    peer: EntryVmRecord,
    write: ConditionalWrite,
  ): Promise<Result<Result<TableEntry, PlatformError>, PeerError>> {
    const response = await this.call(() =>
      this.getClient(peer).putControl.mutate(write),
    );
    return response.ok
      ? success(response.value)
      : success(
          failure({kind: 'outcomeUnknown', reason: response.error.reason}),
        );
  }

  /** The HTTP client enforces the timeout, so calls need no abort signal. */
  private getClient(
    peer: EntryVmRecord,
    timeouts: HttpTimeouts = CALL_TIMEOUTS,
  ): TrpcClient {
    const clients = this.clients.get(timeouts) ?? new Map<string, TrpcClient>();
    this.clients.set(timeouts, clients);
    const url = `http://${peer.peerHost}:${peer.peerPort}`;
    let client = clients.get(url);
    if (client === undefined) {
      const fetch = createHttpFetch(timeouts, (calledUrl, bytes) =>
        this.countBytes(peer, calledUrl, bytes),
      );
      client = createTRPCClient<PeerRouter>({links: [httpLink({url, fetch})]});
      clients.set(url, client);
    }
    return client;
  }

  private countBytes(peer: EntryVmRecord, url: string, bytes: number): void {
    const {availabilityZone, traffic} = this.options;
    const reach = getTrafficLocality(availabilityZone, peer.availabilityZone);
    const cause = new URL(url).pathname.slice(1);
    traffic.record({peer: 'entryVm', reach, cause, bytes});
  }

  private async call<T>(send: () => Promise<T>): Promise<Result<T, PeerError>> {
    try {
      return success(await send());
    } catch (error) {
      return failure({kind: 'unreachable', reason: String(error)});
    }
  }
}
