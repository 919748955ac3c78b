import type {Clock} from '@filbertrun/base/clock.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';

/** Dependencies of {@link GroupInstances}. @public */
export interface GroupInstancesOptions {
  readonly clock: Clock;
  readonly databaseGroup: DatabaseGroupName;
  /**
   * Lists the group's instances that may still be running; null if the platform is
   * unreachable.
   */
  listInstances(
    databaseGroup: DatabaseGroupName,
  ): Promise<readonly BackendServerEntry[] | null>;
}

/** Interval at which the group's instances are listed again. */
const RELIST_INTERVAL_MS = 500;

/** The instances of one group during a change of primary. @public */
export class GroupInstances {
  private listed: readonly BackendServerEntry[] | null = null;
  private listedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: GroupInstancesOptions) {}

  static create(options: GroupInstancesOptions): GroupInstances {
    return new GroupInstances(options);
  }

  /** The instances of the last listing; empty before one. */
  get known(): readonly BackendServerEntry[] {
    return this.listed ?? [];
  }

  /**
   * The instances as listed a short time ago, and not before `sinceMs`. Null if the
   * platform is unreachable.
   */
  async list(
    sinceMs = Number.NEGATIVE_INFINITY,
  ): Promise<readonly BackendServerEntry[] | null> {
    const nowMs = this.options.clock.nowMs();
    const isRecent =
      nowMs - this.listedAtMs < RELIST_INTERVAL_MS &&
      this.listedAtMs >= sinceMs;
    if (this.listed !== null && isRecent) {
      return this.listed;
    }
    const listed = await this.options.listInstances(this.options.databaseGroup);
    if (listed !== null) {
      this.listed = listed;
      this.listedAtMs = nowMs;
    }
    return listed;
  }

  /**
   * The entry of an instance. One that was listed once is used on, so that a slow
   * store does not delay the questions to the instance.
   */
  async find(
    backendServer: BackendServerId,
  ): Promise<BackendServerEntry | null> {
    const isFound = (entry: BackendServerEntry) =>
      entry.backendServer === backendServer;
    const known = this.known.find(isFound);
    if (known !== undefined) {
      return known;
    }
    return (await this.list())?.find(isFound) ?? null;
  }
}
