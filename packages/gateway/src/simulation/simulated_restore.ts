import type {Clock} from '@filbertrun/base/clock.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {FakeControlTable} from '../testing/fake_control_table.js';
import type {SimulatedGroup} from './simulated_group.js';
import type {SimulatedOperator} from './simulated_operator.js';

/** Dependencies of `SimulatedRestore`. @internal */
export interface SimulatedRestoreOptions {
  readonly clock: Clock;
  readonly group: SimulatedGroup;
  readonly operator: SimulatedOperator;
  readonly tables: readonly FakeControlTable[];
}

/**
 * Time after a restore until the operator and the instances have rewritten their
 * records.
 */
const REWRITE_MS = 1_000;

/** Maximum number of retained backups of the directory entries. */
const MAX_BACKUPS = 200;

interface EntryBackup {
  readonly atMs: number;
  readonly entries: readonly BackendServerEntry[];
}

/** Restores the whole simulated store to an earlier state. @internal */
export class SimulatedRestore {
  era = 0;
  /**
   * Directory entries that the store returns after a restore until the instances
   * have rewritten theirs; else null.
   */
  restoredEntries: readonly BackendServerEntry[] | null = null;
  /**
   * Configuration that the store returns after a restore until the operator has
   * rewritten it; else null.
   */
  restoredConfiguration: ServiceConfiguration | null = null;
  private readonly backups: EntryBackup[] = [];

  private constructor(private readonly options: SimulatedRestoreOptions) {}

  static create(options: SimulatedRestoreOptions): SimulatedRestore {
    return new SimulatedRestore(options);
  }

  /** Records the current directory entries. */
  recordBackup(): void {
    const atMs = this.options.clock.nowMs();
    this.backups.push({atMs, entries: this.options.group.listEntries()});
    if (this.backups.length > MAX_BACKUPS) {
      this.backups.shift();
    }
  }

  /** Restores the state that the store had `ageMs` ago, in a new era. */
  restore(ageMs: number): void {
    const {clock, operator, tables} = this.options;
    const toMs = clock.nowMs() - ageMs;
    this.era++;
    for (const table of tables) {
      table.restore(toMs);
    }
    const {era} = this;
    const backup = this.backups.findLast(({atMs}) => atMs <= toMs);
    this.restoredEntries = backup?.entries ?? null;
    const accepted = operator.accepted.findLast(
      ({acceptedAtMs}) => acceptedAtMs <= toMs,
    );
    this.restoredConfiguration = accepted?.configuration ?? null;
    clock.startTimer(REWRITE_MS, () => {
      if (this.era === era) {
        this.restoredEntries = null;
        this.restoredConfiguration = null;
      }
    });
  }
}
