import {setTimeout as sleep} from 'node:timers/promises';
import type {ConfigurationChange} from '@filbertrun/configuration/configuration_change.js';
import {
  createOperatorSession,
  type OperatorSession,
} from '@filbertrun/peer/operator_settings.js';
import {
  Deployment,
  type DeploymentDescription,
} from '@filbertrun/standin/deployment.js';
import {z} from 'zod';
import {CallerSession} from './caller_session.js';
import {sumSeries} from './prometheus_text.js';
import type {ScenarioContext} from './scenario.js';

/** Starts the processes that a scenario measures and accesses them. */

const PLATFORM_TIMEOUT_MS = 3_000;
const POLL_INTERVAL_MS = 25;

const instanceSchema = z.object({
  databaseGroup: z.string(),
  port: z.number(),
  executedStatements: z.number(),
  connections: z.number(),
  limits: z.object({slots: z.number(), maxConnections: z.number()}),
  status: z.object({
    backendServer: z.string(),
    role: z.enum(['primary', 'replica']),
    term: z.number(),
    primary: z.string().nullable(),
    position: z.object({term: z.number(), position: z.number()}),
  }),
});

const stateSchema = z.object({instances: z.array(instanceSchema)});

/** State of an instance, as reported by the stand-in. @public */
export type InstanceState = z.infer<typeof instanceSchema>;

/** A running deployment under measurement. @public */
export class BenchDeployment {
  private constructor(
    readonly deployment: Deployment,
    readonly description: DeploymentDescription,
    private readonly operator: OperatorSession,
  ) {}

  /** Starts a deployment, runs `body` and stops the deployment. */
  static async run<T>(
    context: ScenarioContext,
    body: (bench: BenchDeployment) => Promise<T>,
    proxySettings: Readonly<Record<string, string>> = {},
  ): Promise<T> {
    const deployment = Deployment.create({
      preset: context.preset,
      portBase: context.portBase,
      showsLogs: false,
      proxySettings: {'log-level': 'error', ...proxySettings},
    });
    const disposeOnSignal = () => {
      void deployment.dispose().then(() => process.exit(1));
    };
    process.once('SIGINT', disposeOnSignal);
    process.once('SIGTERM', disposeOnSignal);
    try {
      const description = await deployment.start();
      context.logger.info('deployment_ready', {preset: context.preset});
      const operator = createOperatorSession({
        platformUrl: description.platformUrl,
        platformTimeoutMs: PLATFORM_TIMEOUT_MS,
        proxyUrls: [...description.peerUrls],
        operatorSecret: description.operatorKey,
        changeId: '',
        baseVersion: null,
        wait: false,
        waitTimeoutMs: PLATFORM_TIMEOUT_MS,
        json: true,
      });
      const bench = new BenchDeployment(deployment, description, operator);
      try {
        return await body(bench);
      } finally {
        operator.dispose();
      }
    } finally {
      process.off('SIGINT', disposeOnSignal);
      process.off('SIGTERM', disposeOnSignal);
      await deployment.dispose();
    }
  }

  /** Opens a caller session through the proxy with the given index. */
  connect(
    proxyIndex: number,
    databaseGroup: string,
    applicationName?: string,
  ): Promise<CallerSession> {
    const proxy = this.description.proxies[proxyIndex];
    if (proxy === undefined) {
      throw new RangeError(`No proxy has the index ${proxyIndex}.`);
    }
    const {user, password} = this.description;
    return CallerSession.connect({
      proxy,
      user,
      password,
      databaseGroup,
      ...(applicationName === undefined ? {} : {applicationName}),
    });
  }

  async getInstances(): Promise<readonly InstanceState[]> {
    const response = await fetch(
      `${this.description.standinAdminUrl}/admin/state`,
    );
    return stateSchema.parse(await response.json()).instances;
  }

  /** Returns the primary of the group's newest term. */
  async getPrimary(databaseGroup: string): Promise<InstanceState> {
    let newest: InstanceState | null = null;
    for (const instance of await this.getInstances()) {
      const isPrimary =
        instance.databaseGroup === databaseGroup &&
        instance.status.role === 'primary';
      if (isPrimary && instance.status.term > (newest?.status.term ?? -1)) {
        newest = instance;
      }
    }
    if (newest === null) {
      throw new Error(`Database group ${databaseGroup} has no primary.`);
    }
    return newest;
  }

  /** Whether all instances of a group follow the same primary in one term. */
  async hasConverged(databaseGroup: string): Promise<boolean> {
    const instances = await this.getInstances();
    const group = instances.filter(
      instance => instance.databaseGroup === databaseGroup,
    );
    const primaries = group.filter(
      instance => instance.status.role === 'primary',
    );
    const [primary] = primaries;
    if (primary === undefined || primaries.length > 1) {
      return false;
    }
    const {backendServer, term} = primary.status;
    return group.every(
      ({status}) =>
        status.term === term &&
        (status.role === 'primary' || status.primary === backendServer),
    );
  }

  /** Sums a metric over all proxies; an unreachable proxy counts as 0. */
  async sumMetric(
    name: string,
    labels: Readonly<Record<string, string>> = {},
  ): Promise<number> {
    let sum = 0;
    for (const {operatorUrl} of this.description.proxies) {
      const text = await fetch(`${operatorUrl}/metrics`).then(
        response => response.text(),
        () => '',
      );
      sum += sumSeries(text, name, labels);
    }
    return sum;
  }

  /**
   * Submits a configuration change and returns its version. Throws if the
   * change is rejected.
   */
  async submitChange(
    changeId: string,
    change: ConfigurationChange,
  ): Promise<number> {
    const receipt = await this.operator.client.submit({
      changeId,
      baseVersion: null,
      change,
    });
    if (!receipt.ok) {
      throw new Error(`Configuration change rejected: ${receipt.error.kind}`);
    }
    return receipt.value.version;
  }

  get operatorClient(): OperatorSession['client'] {
    return this.operator.client;
  }
}

/**
 * Polls `condition` until it holds. Returns false if it does not hold within
 * the timeout.
 *
 * @public
 */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
): Promise<boolean> {
  const deadlineMs = performance.now() + timeoutMs;
  while (performance.now() < deadlineMs) {
    if (await condition()) {
      return true;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  return false;
}
