import type {BenchDeployment} from './bench_deployment.js';
import type {CallerSession} from './caller_session.js';

/** Callers that take the arriving requests by turns. */

/** A caller with the state that a scenario keeps for it. @public */
export interface PooledCaller<S> {
  readonly session: CallerSession;
  readonly state: S;
}

/** What a pool is made of. @public */
export interface SessionPoolOptions<S> {
  readonly bench: BenchDeployment;
  readonly databaseGroups: readonly string[];
  readonly callersPerProxyAndGroup: number;
  readonly applicationName: string;
  readonly createState: (index: number, databaseGroup: string) => S;
}

/** Free callers; a request without one waits its turn. @public */
export class SessionPool<S> {
  private readonly waiting: ((caller: PooledCaller<S>) => void)[] = [];

  private constructor(
    readonly callers: readonly PooledCaller<S>[],
    private readonly free: PooledCaller<S>[],
  ) {}

  static async create<S>(
    options: SessionPoolOptions<S>,
  ): Promise<SessionPool<S>> {
    const callers: PooledCaller<S>[] = [];
    const {bench, applicationName} = options;
    for (let turn = 0; turn < options.callersPerProxyAndGroup; turn++) {
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

  /** Runs one request on a free caller. */
  async run(
    handleRequest: (caller: PooledCaller<S>) => Promise<void>,
  ): Promise<void> {
    const caller = await this.take();
    try {
      await handleRequest(caller);
    } finally {
      this.give(caller);
    }
  }

  async end(): Promise<void> {
    await Promise.all(this.callers.map(({session}) => session.end()));
  }

  private take(): Promise<PooledCaller<S>> {
    const caller = this.free.shift();
    return caller === undefined
      ? new Promise(resolve => this.waiting.push(resolve))
      : Promise.resolve(caller);
  }

  private give(caller: PooledCaller<S>): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.free.push(caller);
    } else {
      next(caller);
    }
  }
}
