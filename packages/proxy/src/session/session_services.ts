import type {Clock} from '@filbertrun/base/clock.js';
import type {Configuration} from '@filbertrun/model/configuration.js';
import type {SessionTokenCodec} from '@filbertrun/session/session_token_codec.js';
import type {StatementClassifier} from '@filbertrun/sql/statement_class.js';
import type {DatabaseGroupAccess} from '../execution/database_group_access.js';
import type {KeyedWriteExecutor} from '../execution/keyed_write_executor.js';
import type {PrimaryExecutor} from '../execution/primary_executor.js';
import type {ReadExecutor} from '../execution/read_executor.js';
import type {TransactionExecutor} from '../execution/transaction_executor.js';
import type {ProxyMetrics} from '../proxy_metrics.js';

/** Services that all sessions of a proxy share. @public */
export interface SessionServices {
  readonly clock: Clock;
  readonly classifier: StatementClassifier;
  readonly codec: SessionTokenCodec;
  readonly readExecutor: ReadExecutor;
  readonly primaryExecutor: PrimaryExecutor;
  readonly keyedWriteExecutor: KeyedWriteExecutor;
  readonly transactionExecutor: TransactionExecutor;
  readonly metrics: ProxyMetrics;
  /** Time limit of a statement in the proxy, including waits. */
  readonly statementDeadlineMs: number;
  getConfiguration(): Configuration;
  /** Returns the group, or null when the configuration does not contain it. */
  getGroup(databaseGroup: string): DatabaseGroupAccess | null;
}
