import {randomInt} from 'node:crypto';

/** Largest value of a process id or secret key. */
const MAX_KEY_PART = 2 ** 31 - 1;

/** Target of a cancel request. @public */
export interface CancelTarget {
  cancelCurrentStatement(): void;
}

/** Key that identifies a session in a cancel request. @public */
export interface CancelKey {
  readonly processId: number;
  readonly secretKey: number;
}

/**
 * Maps cancel keys to the sessions of this proxy.
 *
 * @public
 */
export class CancelRegistry {
  private readonly targets = new Map<
    number,
    {readonly secretKey: number; readonly target: CancelTarget}
  >();

  private constructor() {}

  static create(): CancelRegistry {
    return new CancelRegistry();
  }

  /** Adds a session and returns a random key for it. */
  register(target: CancelTarget): CancelKey {
    let processId = randomInt(1, MAX_KEY_PART);
    while (this.targets.has(processId)) {
      processId = randomInt(1, MAX_KEY_PART);
    }
    const secretKey = randomInt(1, MAX_KEY_PART);
    this.targets.set(processId, {secretKey, target});
    return {processId, secretKey};
  }

  unregister(key: CancelKey): void {
    this.targets.delete(key.processId);
  }

  /** Cancels the session's current statement; ignores unknown keys. */
  cancel(key: CancelKey): void {
    const entry = this.targets.get(key.processId);
    if (entry !== undefined && entry.secretKey === key.secretKey) {
      entry.target.cancelCurrentStatement();
    }
  }
}
