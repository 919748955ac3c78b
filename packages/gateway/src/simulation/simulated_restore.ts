import type {Clock} from '@filbertrun/base/clock.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {FakeControlTable} from '../testing/fake_control_table.js';
import type {SimulatedGroup} from './simulated_group.js';
import type {SimulatedOperator} from './simulated_operator.js';

/** What a store that comes back from a copy is made of. @internal */
export interface SimulatedRestoreOptions {
  readonly clock: Clock;
  readonly group: SimulatedGroup;
  readonly operator: SimulatedOperator;
  readonly tables: readonly FakeControlTable[];
}

/** Time after which the operator and the instances have written theirs again. */
const REWRITE_MS = 1_000;

/** Copies of the entries that are kept. */
const MAX_BACKUPS = 200;

interface EntryBackup {
  readonly atMs: number;
  readonly entries: readonly BackendServerEntry[];
}

/** The whole store, which can be put back to what it held earlier. @internal */
export class SimulatedRestore {
  era = 0;
  /** Entries that the store holds until the instances write theirs again; else null. */
  restoredEntries: readonly BackendServerEntry[] | null = null;
  /** The same of the operator's configuration. */
  restoredConfiguration: ServiceConfiguration | null = null;
  private readonly backups: EntryBackup[] = [];

  private constructor(private readonly options: SimulatedRestoreOptions) {}

  static create(options: SimulatedRestoreOptions): SimulatedRestore {
    return new SimulatedRestore(options);
  }

  /** Notes what the instances have in the store now. */
  recordBackup(): void {
    const atMs = this.options.clock.nowMs();
    this.backups.push({atMs, entries: this.options.group.listEntries()});
    if (this.backups.length > MAX_BACKUPS) {
      this.backups.shift();
    }
  }

  /** Brings back what the store held `ageMs` ago. */
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
