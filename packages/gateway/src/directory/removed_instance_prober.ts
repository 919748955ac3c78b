import type {Clock} from '@filbertrun/base/clock.js';
import type {InstanceControl} from '../backend/instance_control.js';
import type {BackendDirectory} from './backend_directory.js';
import type {BackendServerEntry} from './backend_server_entry.js';

/** Dependencies of {@link RemovedInstanceProber}. @public */
export interface RemovedInstanceProberOptions {
  readonly clock: Clock;
  readonly instances: Pick<InstanceControl, 'getStatus'>;
  readonly directory: Pick<
    BackendDirectory,
    'getRecentlyRemoved' | 'renewRemoved'
  >;
}

/** Interval of the probes, well below the time for which a removal is kept. */
const PROBE_INTERVAL_MS = 3_000;

/**
 * Asks the instances that were removed from the directory whether they are still
 * running. An instance without a path to the store loses its entry but goes on
 * confirming commits, so a choice of a primary has to count it for as long as it
 * responds, and so does a proof of freshness by the replicas.
 *
 * @public
 */
export class RemovedInstanceProber {
  private probedAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: RemovedInstanceProberOptions) {}

  static create(options: RemovedInstanceProberOptions): RemovedInstanceProber {
    return new RemovedInstanceProber(options);
  }

  /**
   * Probes the removed instances if the last probes are old enough; without
   * `withDrained`, only those that were not drained before.
   */
  async maintain(withDrained: boolean): Promise<void> {
    const {clock, directory} = this.options;
    const nowMs = clock.nowMs();
    if (nowMs - this.probedAtMs < PROBE_INTERVAL_MS) {
      return;
    }
    this.probedAtMs = nowMs;
    const removed = directory
      .getRecentlyRemoved()
      .filter(({state}) => withDrained || state !== 'draining');
    await Promise.all(removed.map(entry => this.probe(entry)));
  }

  private async probe(entry: BackendServerEntry): Promise<void> {
    const status = await this.options.instances.getStatus(entry);
    if (status.ok) {
      this.options.directory.renewRemoved(entry);
    }
  }
}
