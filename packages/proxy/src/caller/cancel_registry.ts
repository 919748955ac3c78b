import {randomInt} from 'node:crypto';

/** Largest value of a process id or secret key. */
const MAX_KEY_PART = 2 ** 31 - 1;

/** Something that a cancel request can stop. @public */
export interface CancelTarget {
  cancelCurrentStatement(): void;
}

/** Identifies a session for a cancel request. @public */
export interface CancelKey {
  readonly processId: number;
  readonly secretKey: number;
}

/**
 * The sessions of this proxy by the key that their callers were given.
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

  /** Adds a session and gives it an unguessable key. */
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

  /** Cancels what a session runs; a wrong key does nothing. */
  cancel(key: CancelKey): void {
    const entry = this.targets.get(key.processId);
    if (entry !== undefined && entry.secretKey === key.secretKey) {
      entry.target.cancelCurrentStatement();
    }
  }
}
