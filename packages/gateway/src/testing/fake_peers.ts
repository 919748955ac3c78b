import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {EntryVmRecord} from '../control/control_record.js';
import type {RevisedPrimaryRecord} from '../group/primary_record.js';
import type {PermitGrants} from '../quota/permit_exchange.js';
import type {ZoneUpdate} from '../zone/zone_update.js';
import type {
  PeerClient,
  PeerError,
  PositionAnswer,
  ReachabilityAnswer,
  RecordComparison,
  ReleaseAnswer,
  ReleaseRequest,
} from '../peer/peer_client.js';

/** Fake client of other proxies, some of which are unreachable. @internal */
export class FakePeers implements PeerClient {
  /**
   * Highest acknowledged position by entry VM; entry VMs without an entry are
   * unreachable for `release`.
   */
  readonly acknowledged = new Map<string, LogPosition | null>();
  /** Time that each proxy states to have waited for pending writes. */
  drainedForMs = 0;
  readonly released: string[] = [];
  /** Freshness bounds that peers return, by entry VM. */
  readonly positions = new Map<string, PositionAnswer>();
  readonly positionRequests: string[] = [];
  readonly announcements: RevisedPrimaryRecord[] = [];

  private constructor() {}

  static create(): FakePeers {
    return new FakePeers();
  }

  async release(
    peer: EntryVmRecord,
    request: ReleaseRequest,
  ): Promise<Result<ReleaseAnswer, PeerError>> {
    await Promise.resolve();
    const highestAcknowledged = this.acknowledged.get(peer.entryVm);
    if (highestAcknowledged === undefined) {
      return failure({kind: 'unreachable', reason: 'silent'});
    }
    this.released.push(`${peer.entryVm} ${request.changeId}`);
    return success({
      incarnation: peer.incarnation,
      highestAcknowledged,
      drainedForMs: this.drainedForMs,
    });
  }

  async announce(
    _peer: EntryVmRecord,
    record: RevisedPrimaryRecord,
  ): Promise<Result<void, PeerError>> {
    await Promise.resolve();
    this.announcements.push(record);
    return success(undefined);
  }

  async reportSuspicion(): Promise<Result<void, PeerError>> {
    await Promise.resolve();
    return success(undefined);
  }

  async askReach(): Promise<Result<ReachabilityAnswer, PeerError>> {
    await Promise.resolve();
    return success({isReachable: false});
  }

  async compareRecords(): Promise<Result<RecordComparison, PeerError>> {
    await Promise.resolve();
    return success({digest: null});
  }

  async followZone(): Promise<Result<ZoneUpdate | null, PeerError>> {
    await Promise.resolve();
    return success(null);
  }

  async askPosition(
    peer: EntryVmRecord,
  ): Promise<Result<PositionAnswer | null, PeerError>> {
    await Promise.resolve();
    this.positionRequests.push(peer.entryVm);
    return success(this.positions.get(peer.entryVm) ?? null);
  }

  async exchangePermits(): Promise<Result<PermitGrants | null, PeerError>> {
    await Promise.resolve();
    return success(null);
  }

  async handOverDuty(): Promise<Result<void, PeerError>> {
    await Promise.resolve();
    return success(undefined);
  }
}
