/** Permission to run one operation of a customer. @public */
export interface OperationPermit {
  /**
   * Records that the operation was sent to a backend server. Retries at other
   * servers belong to the same operation.
   */
  markSent(): void;
  /** Ends the operation; a permit that was not used can serve another one. */
  end(): void;
}

/** Permit of an operation that is not limited. @public */
export const UNLIMITED_PERMIT: OperationPermit = {
  markSent: () => {},
  end: () => {},
};
