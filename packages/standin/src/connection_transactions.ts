import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {InstanceCore} from './instance_core.js';
import type {StatementEffect} from './statement_effect.js';
import {Transaction} from './transaction.js';

/** State of a connection's transaction as ReadyForQuery reports it. @internal */
export type TransactionStatus = 'I' | 'T' | 'E';

/**
 * The transaction of one connection: a block that BEGIN opened, or the
 * implicit one of the statements up to the next Sync.
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

  /** Opens a block; false when one is open. */
  begin(): boolean {
    if (this.explicit !== null) {
      return false;
    }
    this.explicit = this.implicit ?? Transaction.create();
    this.implicit = null;
    return true;
  }

  /** Ends the transaction and returns the place of its commit, if any. */
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

  /** Commits writes made outside of a block. */
  commitImplicit(): LogPosition | null {
    const transaction = this.implicit;
    this.implicit = null;
    return transaction === null ? null : this.core.commit(transaction);
  }

  /** Notes a failed statement: a block can then only be rolled back. */
  fail(): void {
    if (this.explicit !== null) {
      this.hasFailed = true;
      return;
    }
    this.end(false);
  }

  /**
   * Takes the locks of a statement and stages its changes. Returns the
   * transaction that holds one of the rows, or null when it is done.
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
