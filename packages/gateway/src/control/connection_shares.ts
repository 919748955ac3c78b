import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {GroupRuntime} from '../group/group_runtime.js';
import {
  computeConnectionShare,
  ORPHANED_CONNECTIONS_MS,
} from './compute_connection_share.js';
import type {EntryVmRegistration} from './entry_vm_registration.js';

/** Dependencies of {@link ConnectionShares}. @public */
export interface ConnectionSharesOptions {
  readonly clock: Clock;
  readonly registration: EntryVmRegistration;
  readonly groups: ReadonlyMap<string, GroupRuntime>;
  getConfiguration(): ServiceConfiguration | null;
  /** Whether the registrations have been read since process start. */
  hasRegistrations(): boolean;
}

/** Limits this proxy's connections to each instance to its share. @public */
export class ConnectionShares {
  private readonly startedAtMs: number;
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
    const entryVmCount = registration.getOtherEntryVms().length + 1;
    const mayHaveOrphans = this.mayHaveOrphans();
    const configuration = getConfiguration();
    for (const [databaseGroup, group] of groups) {
      const settings = configuration?.databaseGroups.get(databaseGroup);
      if (settings !== undefined) {
        const {maxConnections} = settings;
        group.setMaxConnections(
          computeConnectionShare({
            maxConnections,
            entryVmCount,
            mayHaveOrphans,
          }),
        );
      }
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
