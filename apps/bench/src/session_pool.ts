import type {BenchDeployment} from './bench_deployment.js';
import type {CallerSession} from './caller_session.js';

/** Pool of logged-in callers that run the arriving requests. */

/** A caller with its scenario-specific state. @public */
export interface PooledCaller<S> {
  readonly session: CallerSession;
  readonly state: S;
}

/** Options of `SessionPool`. @public */
export interface SessionPoolOptions<S> {
  readonly bench: BenchDeployment;
  readonly databaseGroups: readonly string[];
  readonly callersPerProxyAndGroup: number;
  readonly applicationName: string;
  readonly createState: (index: number, databaseGroup: string) => S;
}

/** Assigns requests to free callers; requests queue in FIFO order. @public */
export class SessionPool<S> {
  private readonly waiters: ((caller: PooledCaller<S>) => void)[] = [];

  private constructor(
    readonly callers: readonly PooledCaller<S>[],
    private readonly free: PooledCaller<S>[],
  ) {}

  static async create<S>(
    options: SessionPoolOptions<S>,
  ): Promise<SessionPool<S>> {
    const callers: PooledCaller<S>[] = [];
    const {bench, applicationName} = options;
    for (let round = 0; round < options.callersPerProxyAndGroup; round++) {
      for (const databaseGroup of options.databaseGroups) {
        for (const index of bench.description.proxies.keys()) {
          const session = await bench.connect(
            index,
            databaseGroup,
            applicationName,
          );
          const state = options.createState(callers.length, databaseGroup);
          callers.push({session, state});
        }
      }
    }
    return new SessionPool(callers, [...callers]);
  }

  /** Runs one request on a free caller, waiting for one if necessary. */
  async run(
    handleRequest: (caller: PooledCaller<S>) => Promise<void>,
  ): Promise<void> {
    const caller = await this.acquire();
    try {
      await handleRequest(caller);
    } finally {
      this.release(caller);
    }
  }

  async end(): Promise<void> {
    await Promise.all(this.callers.map(({session}) => session.end()));
  }

  private acquire(): Promise<PooledCaller<S>> {
    const caller = this.free.shift();
    return caller === undefined
      ? new Promise(resolve => this.waiters.push(resolve))
      : Promise.resolve(caller);
  }

  private release(caller: PooledCaller<S>): void {
    const next = this.waiters.shift();
    if (next === undefined) {
      this.free.push(caller);
    } else {
      next(caller);
    }
  }
}
