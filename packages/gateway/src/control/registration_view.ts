import type {EntryVmRecord} from './control_record.js';

/** The registrations of the entry VMs as of a read of the store. @public */
export interface RegistrationView {
  readonly entryVms: readonly EntryVmRecord[];
  /**
   * Current time on the store's clock. The estimate is ahead by at most the
   * latency of the read.
   */
  readonly storeNowMs: number;
  /** Time since the start of the read. */
  readonly ageMs: number;
}
