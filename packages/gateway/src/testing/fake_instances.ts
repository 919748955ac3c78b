import type {Clock} from '@filbertrun/base/clock.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  comparePositions,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {
  InstanceControl,
  InstanceControlError,
  InstanceStatus,
  PromotionError,
  PromotionOrder,
  PromotionService,
} from '../backend/instance_control.js';
import {
  UNNAMED_BACKEND_SERVER,
  type BackendServerEntry,
} from '../directory/backend_server_entry.js';

/** An instance of a fake database group. @internal */
export interface FakeInstance {
  readonly entry: BackendServerEntry;
  role: 'primary' | 'replica';
  term: number;
  position: LogPosition;
  pausedTerm: number;
  isRunning: boolean;
  /** Whether the failover leader reaches it; other proxies may. */
  isReachable: boolean;
  /** Whether another instance responds at its address. */
  isReplaced: boolean;
  /** Whether it receives what the primary commits. */
  isReceiving: boolean;
  /** Whether the directory lists it. */
  isListed: boolean;
}

/** Duration of a promotion. */
const PROMOTION_MS = 300;

type ControlResult = Result<InstanceStatus, InstanceControlError>;

/** A fake database group with the platform's promotion service. @internal */
export class FakeInstances implements InstanceControl, PromotionService {
  readonly instances = new Map<string, FakeInstance>();
  readonly orders: PromotionOrder[] = [];
  /** Runs before an order is sent, like the opening of a connection. */
  beforeSending: () => Promise<void> = () => Promise.resolve();
  /** Whether the platform refuses orders. */
  isRefusing = false;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FakeInstances {
    return new FakeInstances(clock);
  }

  add(
    backendServer: string,
    role: 'primary' | 'replica',
    position: number,
    host = `host-${backendServer}`,
  ): FakeInstance {
    const instance: FakeInstance = {
      entry: {...createEntry(backendServer, role), host},
      role,
      term: 1,
      position: {term: 1, position},
      pausedTerm: 0,
      isRunning: true,
      isReachable: true,
      isReplaced: false,
      isReceiving: true,
      isListed: true,
    };
    this.instances.set(backendServer, instance);
    return instance;
  }

  get(backendServer: string): FakeInstance {
    const instance = this.instances.get(backendServer);
    if (instance === undefined) {
      throw new Error(`There is no instance ${backendServer}.`);
    }
    return instance;
  }

  listEntries(): readonly BackendServerEntry[] {
    const entries: BackendServerEntry[] = [];
    for (const instance of this.instances.values()) {
      if (instance.isListed) {
        entries.push(instance.entry);
      }
    }
    return entries;
  }

  /** Commits a write on the primary; returns whether a replica received it. */
  commit(): boolean {
    const primary = this.findPrimary();
    if (primary === null) {
      return false;
    }
    const position = {
      term: primary.term,
      position: primary.position.position + 1,
    };
    primary.position = position;
    let isAcknowledged = false;
    for (const instance of this.instances.values()) {
      if (canReceive(instance, primary)) {
        instance.position = position;
        isAcknowledged = true;
      }
    }
    return isAcknowledged;
  }

  /** Restarts a replica, which ends its pause. */
  restart(backendServer: string): void {
    this.get(backendServer).pausedTerm = 0;
  }

  getStatus(server: BackendServerEntry): Promise<ControlResult> {
    return this.control(server, () => {});
  }

  pauseReplication(
    server: BackendServerEntry,
    term: number,
  ): Promise<ControlResult> {
    return this.control(server, instance => {
      if (instance.role === 'replica' && term > instance.term) {
        instance.pausedTerm = term;
      }
    });
  }

  stepDown(server: BackendServerEntry, term: number): Promise<ControlResult> {
    return this.control(server, instance => {
      if (instance.role === 'primary' && instance.term < term) {
        instance.role = 'replica';
      }
    });
  }

  async promote(
    order: PromotionOrder,
    maySend: () => boolean,
  ): Promise<Result<void, PromotionError>> {
    await this.beforeSending();
    if (!maySend()) {
      return failure({kind: 'unavailable', reason: 'not sent'});
    }
    this.orders.push(order);
    const target = this.instances.get(order.target);
    if (target === undefined || !target.isRunning || this.isRefusing) {
      return failure({kind: 'rejected', status: 409});
    }
    this.clock.startTimer(PROMOTION_MS, () => this.finishPromotion(target));
    return success(undefined);
  }

  /** Lets the order of another leader take effect after a while. */
  takeEffectAfter(delayMs: number, backendServer: string): void {
    this.clock.startTimer(delayMs, () =>
      this.finishPromotion(this.get(backendServer)),
    );
  }

  private finishPromotion(target: FakeInstance): void {
    let newestTerm = 0;
    for (const instance of this.instances.values()) {
      newestTerm = Math.max(newestTerm, instance.term);
    }
    target.role = 'primary';
    target.term = newestTerm + 1;
    for (const instance of this.instances.values()) {
      instance.pausedTerm = 0;
      const isAhead = comparePositions(instance.position, target.position) > 0;
      if (instance.role === 'replica' && isAhead) {
        instance.position = target.position;
      }
    }
  }

  private findPrimary(): FakeInstance | null {
    let newest: FakeInstance | null = null;
    for (const instance of this.instances.values()) {
      const isPrimary = instance.role === 'primary' && instance.isRunning;
      if (isPrimary && (newest === null || instance.term > newest.term)) {
        newest = instance;
      }
    }
    return newest;
  }

  /** The instance that responds at an address. */
  private findAt(host: string): FakeInstance | undefined {
    for (const instance of this.instances.values()) {
      if (instance.entry.host === host && !instance.isReplaced) {
        return instance;
      }
    }
    return undefined;
  }

  private async control(
    server: BackendServerEntry,
    change: (instance: FakeInstance) => void,
  ): Promise<ControlResult> {
    await Promise.resolve();
    const instance =
      server.backendServer === UNNAMED_BACKEND_SERVER
        ? this.findAt(server.host)
        : this.instances.get(server.backendServer);
    if (instance?.isReplaced === true) {
      return failure({kind: 'wrongServer'});
    }
    if (instance?.isRunning !== true || !instance.isReachable) {
      return failure({kind: 'unreachable', reason: 'not running'});
    }
    change(instance);
    return success({
      role: instance.role,
      term: instance.term,
      receivedPosition: instance.position,
      pausedTerm: instance.pausedTerm,
      lagMs: 0,
    });
  }
}

function canReceive(instance: FakeInstance, primary: FakeInstance): boolean {
  return (
    instance !== primary &&
    instance.isRunning &&
    instance.isReceiving &&
    instance.role === 'replica' &&
    instance.pausedTerm <= primary.term
  );
}

/** Creates a directory entry for tests. @internal */
export function createEntry(
  backendServer: string,
  reportedRole: 'primary' | 'replica',
): BackendServerEntry {
  return {
    backendServer,
    databaseGroup: 'group',
    host: '127.0.0.1',
    port: 1,
    availabilityZone: 'zone-a',
    state: 'active',
    reportedRole,
    slots: 3,
    warmUpRemainingMs: 0,
    startedAtEpochMs: 1,
  };
}
