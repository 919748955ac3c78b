import {createSecureContext, type SecureContext} from 'node:tls';
import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {CompletionRules} from '@filbertrun/completion/completion_rules.js';
import {
  EMPTY_CONFIGURATION,
  type Configuration,
} from '@filbertrun/model/configuration.js';
import {SessionTokenCodec} from '@filbertrun/session/session_token_codec.js';
import {PostgresStatementClassifier} from '@filbertrun/sql/postgres_classifier.js';
import {
  CallerAuthenticator,
  type AuthenticationMethod,
} from './caller/caller_authentication.js';
import {CallerListener} from './caller/caller_listener.js';
import {CancelRegistry} from './caller/cancel_registry.js';
import {WriteAcknowledger} from './execution/acknowledgement.js';
import {KeyedWriteExecutor} from './execution/keyed_write_executor.js';
import {PrimaryExecutor} from './execution/primary_executor.js';
import {PrimaryWaitQueue} from './execution/primary_wait_queue.js';
import {ReadExecutor} from './execution/read_executor.js';
import {TransactionExecutor} from './execution/transaction_executor.js';
import type {DatabaseGroupAccess} from './execution/database_group_access.js';
import type {ProxyMetrics} from './proxy_metrics.js';
import type {SessionServices} from './session/session_services.js';

/** Limits of the queue of statements that wait for a primary. */
const PRIMARY_WAIT_QUEUE_LIMITS = {
  maxWaiting: 1_000,
  retryBurst: 100,
  retryRatio: 0.2,
} as const;

/** Options of the data path. @public */
export interface DataPathOptions {
  readonly availabilityZone: string;
  readonly listenHost: string;
  readonly listenPort: number;
  readonly maxCallerConnections: number;
  readonly callerUser: string;
  readonly callerPassword: string;
  readonly callerAuthentication: AuthenticationMethod;
  readonly tokenKeys: readonly string[];
  /** Certificate and key as PEM text, or null for no TLS. */
  readonly tls: {readonly cert: string; readonly key: string} | null;
  readonly statementDeadlineMs: number;
  readonly groups: {
    get(databaseGroup: string): DatabaseGroupAccess | null;
  };
  readonly configuration: {getCurrent(): Configuration | null};
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly metrics: ProxyMetrics;
}

/**
 * Creates the data path, which runs the statements of callers (unlike the
 * control plane, which tracks members, configuration and primaries), and starts
 * accepting callers.
 *
 * @public
 */
export async function startDataPath(
  options: DataPathOptions,
): Promise<CallerListener> {
  const services = await createServices(options);
  const {callerUser: user, callerPassword: password} = options;
  return CallerListener.create({
    host: options.listenHost,
    port: options.listenPort,
    maxConnections: options.maxCallerConnections,
    clock: options.clock,
    connection: {
      services,
      authenticator: CallerAuthenticator.create(
        {user, password},
        options.callerAuthentication,
      ),
      cancelRegistry: CancelRegistry.create(),
      secureContext: createContext(options.tls),
    },
    handleConnectionCount: count => options.metrics.setCallerConnections(count),
  });
}

async function createServices(
  options: DataPathOptions,
): Promise<SessionServices> {
  const {clock, random, metrics, availabilityZone, groups} = options;
  const codec = SessionTokenCodec.create({signingKeys: options.tokenKeys});
  const acknowledger = WriteAcknowledger.create(codec);
  const waitQueue = PrimaryWaitQueue.create(PRIMARY_WAIT_QUEUE_LIMITS);
  const primaryExecutor = PrimaryExecutor.create({
    clock,
    acknowledger,
    waitQueue,
    metrics,
  });
  return {
    clock,
    classifier: await PostgresStatementClassifier.create(),
    codec,
    primaryExecutor,
    keyedWriteExecutor: KeyedWriteExecutor.create({
      clock,
      getWallClockMs: () => Date.now(),
      acknowledger,
      waitQueue,
      rules: CompletionRules.create(),
    }),
    readExecutor: ReadExecutor.create({
      availabilityZone,
      random,
      clock,
      primaryExecutor,
      metrics,
    }),
    transactionExecutor: TransactionExecutor.create(acknowledger, metrics),
    metrics,
    statementDeadlineMs: options.statementDeadlineMs,
    getConfiguration: () =>
      options.configuration.getCurrent() ?? EMPTY_CONFIGURATION,
    getGroup: databaseGroup => groups.get(databaseGroup),
  };
}

function createContext(tls: DataPathOptions['tls']): SecureContext | null {
  return tls === null ? null : createSecureContext(tls);
}
