import type {Clock} from '@filbertrun/base/clock.js';
import type {
  DatabaseRoute,
  ServiceConfiguration,
} from '../configuration/service_configuration.js';

/** Maximum staleness of the simulated routes without strict reads. @internal */
export const ROUTE_MAX_AGE_MS = 1_500;

/** The route that configuration changes remove and add again. @internal */
export const OPTIONAL_ROUTE = 'optional';

/** A version of the configuration and the time of its acceptance. @internal */
export interface AcceptedConfiguration {
  readonly configuration: ServiceConfiguration;
  readonly acceptedAtMs: number;
}

/** The operator who changes the configuration. @internal */
export class SimulatedOperator {
  /** All versions, oldest first. */
  readonly accepted: AcceptedConfiguration[] = [];
  /** Times until which proxies get no listing. */
  private readonly listedFromMs = new Map<string, number>();

  private constructor(private readonly clock: Clock) {
    this.accept(true);
  }

  static create(clock: Clock): SimulatedOperator {
    return new SimulatedOperator(clock);
  }

  get nowMs(): number {
    return this.clock.nowMs();
  }

  get current(): ServiceConfiguration {
    const newest = this.accepted.at(-1);
    if (newest === undefined) {
      throw new Error('There is no accepted configuration.');
    }
    return newest.configuration;
  }

  /** Answers the listings of a proxy no sooner than at a time. */
  delayListings(proxy: string, untilMs: number): void {
    this.listedFromMs.set(proxy, untilMs);
  }

  /** Time by which a listing for a proxy has to be delayed. */
  getListingDelayMs(proxy: string): number {
    const fromMs = this.listedFromMs.get(proxy) ?? 0;
    return Math.max(0, fromMs - this.clock.nowMs());
  }

  /** Accepts a version that removes the optional route or adds it again. */
  toggleOptionalRoute(): void {
    this.accept(!this.current.routes.has(OPTIONAL_ROUTE));
  }

  private accept(hasOptionalRoute: boolean): void {
    this.accepted.push({
      configuration: createConfiguration(
        this.accepted.length + 1,
        hasOptionalRoute,
      ),
      acceptedAtMs: this.clock.nowMs(),
    });
  }
}

function createConfiguration(
  version: number,
  hasOptionalRoute: boolean,
): ServiceConfiguration {
  const routes = new Map<string, DatabaseRoute>();
  for (const consistency of ['strict', 'session', 'age'] as const) {
    routes.set(consistency, createRoute(consistency, consistency));
  }
  if (hasOptionalRoute) {
    routes.set(OPTIONAL_ROUTE, createRoute(OPTIONAL_ROUTE, 'age'));
  }
  return {
    version,
    routes,
    databaseGroups: new Map([
      [
        'group',
        {
          databaseGroup: 'group',
          maxConnections: 40,
          synchronousReplicaCount: 1,
        },
      ],
    ]),
    customers: null,
    transactionIdleTimeoutMs: 3_000,
  };
}

function createRoute(
  databaseName: string,
  consistency: DatabaseRoute['consistency'],
): DatabaseRoute {
  return {
    databaseName,
    databaseGroup: 'group',
    consistency,
    maxAgeMs: consistency === 'strict' ? null : ROUTE_MAX_AGE_MS,
    statementTimeoutMs: 1_000,
    targetLatencyMs: 400,
    priority: 'normal',
    isPublic: false,
  };
}
