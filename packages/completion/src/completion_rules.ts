/**
 * Rules that prevent a keyed request from taking effect twice. They are a class
 * so that the fuzzer's mutation test can override one rule at a time.
 * Production code always uses `CompletionRules.create()`.
 *
 * @public
 */
export class CompletionRules {
  protected constructor() {}

  static create(): CompletionRules {
    // Subclasses of the mutation test create instances of themselves.
    return new this();
  }

  /** Whether the record is written in the transaction of the request. */
  mustRecord(): boolean {
    return true;
  }

  /** Whether a record belongs to the same statement as the request. */
  isSameStatement(recordedHash: string, statementHash: string): boolean {
    return recordedHash === statementHash;
  }

  /** Whether a majority must hold a record before its response is replayed. */
  mustConfirmReplay(): boolean {
    return true;
  }
}
