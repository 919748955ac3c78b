/**
 * The rules that keep a keyed request from running twice. They are a class so
 * that the mutation run of the fuzzer can replace one at a time. A program
 * always uses `CompletionRules.create()`.
 *
 * @public
 */
export class CompletionRules {
  protected constructor() {}

  static create(): CompletionRules {
    // A subclass of the mutation run creates itself.
    return new this();
  }

  /** Whether the request writes its record in its own transaction. */
  mustRecord(): boolean {
    return true;
  }

  /** Whether a record must be of the same statement to answer a request. */
  isSameStatement(recordedHash: string, statementHash: string): boolean {
    return recordedHash === statementHash;
  }

  /** Whether a record that was read must be held by a majority before it answers. */
  mustProveReplay(): boolean {
    return true;
  }
}
