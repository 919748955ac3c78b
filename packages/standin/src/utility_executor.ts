import type {LogPosition} from '@filbertrun/model/log_position.js';
import {createCommandResult, type StatementResult} from './statement_result.js';
import type {ConnectionTransactions} from './connection_transactions.js';
import type {InstanceCore} from './instance_core.js';
import type {SessionParameters} from './session_parameters.js';
import type {UtilityStatement} from './utility_statement.js';

/** Runs utility statements of one connection. @internal */
export class UtilityExecutor {
  private readonly channels = new Set<string>();

  private constructor(
    private readonly core: InstanceCore,
    private readonly parameters: SessionParameters,
    private readonly transactions: ConnectionTransactions,
  ) {}

  static create(
    core: InstanceCore,
    parameters: SessionParameters,
    transactions: ConnectionTransactions,
  ): UtilityExecutor {
    return new UtilityExecutor(core, parameters, transactions);
  }

  isListening(channel: string): boolean {
    return this.channels.has(channel);
  }

  run(statement: UtilityStatement): StatementResult {
    switch (statement.kind) {
      case 'begin':
        return this.begin();
      case 'commit':
        return this.endExplicit(this.transactions.getStatus() !== 'E');
      case 'rollback':
        return this.endExplicit(false);
      case 'set':
        this.parameters.set(
          statement.parameter,
          statement.value,
          statement.isLocal,
        );
        return this.createCommandResult('SET');
      case 'setTransaction':
        return this.createCommandResult('SET');
      case 'show':
        return {
          ...this.createCommandResult('SHOW'),
          rows: [[this.parameters.get(statement.parameter)]],
        };
      case 'reset':
        return this.reset(statement.parameter);
      case 'discard':
        this.parameters.resetAll();
        this.channels.clear();
        return this.createCommandResult('DISCARD ALL');
      case 'listen':
        this.channels.add(statement.channel);
        return this.createCommandResult('LISTEN');
      case 'unlisten':
        this.unlisten(statement.channel);
        return this.createCommandResult('UNLISTEN');
      case 'deallocate':
        return this.createCommandResult('DEALLOCATE');
    }
  }

  private begin(): StatementResult {
    if (this.transactions.begin()) {
      this.parameters.handleBegin();
    }
    return this.createCommandResult('BEGIN');
  }

  private endExplicit(isCommitted: boolean): StatementResult {
    this.parameters.handleEnd(isCommitted);
    const position = this.transactions.end(isCommitted);
    const tag = isCommitted ? 'COMMIT' : 'ROLLBACK';
    return this.createCommandResult(tag, position);
  }

  private reset(parameter: string | null): StatementResult {
    if (parameter === null) {
      this.parameters.resetAll();
    } else {
      this.parameters.set(parameter, null, false);
    }
    return this.createCommandResult('RESET');
  }

  private unlisten(channel: string | null): void {
    if (channel === null) {
      this.channels.clear();
    } else {
      this.channels.delete(channel);
    }
  }

  private createCommandResult(
    tag: string,
    commitPosition: LogPosition | null = null,
  ): StatementResult {
    return createCommandResult(tag, this.core.getPosition(), commitPosition);
  }
}
