import {failure, type Result} from '@filbertrun/base/result.js';
import type {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import type {
  ConditionalWrite,
  PlatformError,
  PlatformTable,
  TableEntry,
} from '@filbertrun/platform/platform_service.js';
import type {PartyClock} from './party_clock.js';
import type {SimulatedNetwork} from './simulated_network.js';

/** Party name of the platform. @public */
export const PLATFORM_PARTY = 'platform';

const CALL_TIMEOUT_MS = 400;

/**
 * The platform's table for one proxy, reached over the simulated network. A
 * write whose response doesn't arrive has an unknown outcome.
 *
 * @public
 */
export class SimulatedPlatform implements PlatformTable {
  private constructor(
    private readonly party: string,
    private readonly clock: PartyClock,
    private readonly network: SimulatedNetwork,
    private readonly service: InMemoryPlatformService,
  ) {}

  static create(
    party: string,
    clock: PartyClock,
    network: SimulatedNetwork,
    service: InMemoryPlatformService,
  ): SimulatedPlatform {
    return new SimulatedPlatform(party, clock, network, service);
  }

  getEntry(key: string): Promise<Result<TableEntry | null, PlatformError>> {
    return this.call(() => this.service.getEntry(key), {
      kind: 'unavailable',
      reason: 'no response',
    });
  }

  putEntry(
    write: ConditionalWrite,
  ): Promise<Result<TableEntry, PlatformError>> {
    return this.call(() => this.service.putEntry(write), {
      kind: 'outcomeUnknown',
      reason: 'no response',
    });
  }

  private call<T>(
    run: () => Promise<Result<T, PlatformError>>,
    timeoutError: PlatformError,
  ): Promise<Result<T, PlatformError>> {
    return new Promise(resolve => {
      const timer = this.clock.startTimer(CALL_TIMEOUT_MS, () =>
        resolve(failure(timeoutError)),
      );
      this.network.sendDatagram(this.party, PLATFORM_PARTY, () => {
        void run().then(result => {
          this.network.sendDatagram(PLATFORM_PARTY, this.party, () => {
            timer.cancel();
            resolve(result);
          });
        });
      });
    });
  }
}
