import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {InstanceCore} from './instance_core.js';
import type {StatementEffect} from './statement_effect.js';
import {Transaction} from './transaction.js';

/** Transaction status of a connection as in ReadyForQuery. @internal */
export type TransactionStatus = 'I' | 'T' | 'E';

/**
 * The transaction of one connection: an explicit one that BEGIN opened, or
 * the implicit one of the statements up to the next Sync.
 *
 * @internal
 */
export class ConnectionTransactions {
  private explicit: Transaction | null = null;
  private implicit: Transaction | null = null;
  private hasFailed = false;

  private constructor(private readonly core: InstanceCore) {}

  static create(core: InstanceCore): ConnectionTransactions {
    return new ConnectionTransactions(core);
  }

  getStatus(): TransactionStatus {
    if (this.explicit === null) {
      return 'I';
    }
    return this.hasFailed ? 'E' : 'T';
  }

  getCurrent(): Transaction | null {
    return this.explicit ?? this.implicit;
  }

  hasExplicit(): boolean {
    return this.explicit !== null;
  }

  hasImplicit(): boolean {
    return this.implicit !== null;
  }

  /** Opens an explicit transaction; returns false if one is open. */
  begin(): boolean {
    if (this.explicit !== null) {
      return false;
    }
    this.explicit = this.implicit ?? Transaction.create();
    this.implicit = null;
    return true;
  }

  /** Ends the transaction; returns the position of its commit, or null. */
  end(isCommitted: boolean): LogPosition | null {
    const transaction = this.getCurrent();
    this.explicit = null;
    this.implicit = null;
    this.hasFailed = false;
    if (transaction === null) {
      return null;
    }
    if (isCommitted) {
      return this.core.commit(transaction);
    }
    this.core.rollback(transaction);
    return null;
  }

  /** Commits the implicit transaction, if any. */
  commitImplicit(): LogPosition | null {
    const transaction = this.implicit;
    this.implicit = null;
    return transaction === null ? null : this.core.commit(transaction);
  }

  /**
   * Handles a failed statement: marks an explicit transaction as failed, after
   * which it can only be rolled back, or rolls back the implicit one.
   */
  fail(): void {
    if (this.explicit !== null) {
      this.hasFailed = true;
      return;
    }
    this.end(false);
  }

  /**
   * Locks the rows of a statement and stages its changes. If another
   * transaction holds one of the rows, stages nothing and returns it; otherwise
   * returns null. An effect with an error is never staged.
   */
  stage(effect: StatementEffect): Transaction | null {
    const {intents, error} = effect;
    if (intents.length === 0) {
      return null;
    }
    const transaction = this.getCurrent() ?? Transaction.create();
    const holder = this.core.locks.findOtherHolder(intents, transaction);
    if (holder !== null || error !== null) {
      return holder;
    }
    if (this.explicit === null) {
      this.implicit = transaction;
    }
    this.core.locks.lock(intents, transaction);
    for (const intent of intents) {
      if (intent.kind === 'change') {
        transaction.stage(intent.table, intent.key, intent.after);
      }
    }
    return null;
  }
}
