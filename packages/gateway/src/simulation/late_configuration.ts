import {sleep} from '@filbertrun/base/sleep.js';
import type {GatewayOptions} from '../gateway.js';

/**
 * Delivers the first configuration of some processes at a later time, although it
 * was read at once, and knows which processes have one. For mutants.
 *
 * @internal
 */
export class LateConfiguration {
  private readonly configured = new Set<string>();

  private constructor(
    /** Time of the delivery by the incarnation of the process. */
    private readonly deliveredAtMs: ReadonlyMap<string, number>,
  ) {}

  static create(deliveredAtMs: ReadonlyMap<string, number>): LateConfiguration {
    return new LateConfiguration(deliveredAtMs);
  }

  /** Whether the running process of an entry VM has a configuration. */
  hasConfiguration(entryVm: string): boolean {
    return this.configured.has(entryVm);
  }

  /** Delays the configuration of a process that starts. */
  delay(options: GatewayOptions): GatewayOptions {
    const {self, clock, configurationTable} = options;
    this.configured.delete(self.entryVm);
    const untilMs = this.deliveredAtMs.get(self.incarnation) ?? 0;
    return {
      ...options,
      configurationTable: {
        list: async () => {
          const listing = await configurationTable.list();
          await sleep(clock, Math.max(0, untilMs - clock.nowMs()));
          if (listing.ok) {
            this.configured.add(self.entryVm);
          }
          return listing;
        },
        watch: (afterRevision, waitMs) =>
          configurationTable.watch(afterRevision, waitMs),
      },
    };
  }
}
