import {LRUCache} from 'lru-cache';

/** Maximum number of prepared statements on one backend connection. */
const MAX_STATEMENTS = 100;

/**
 * Tracks the prepared statements that exist on a backend connection, by the
 * names that the proxy gave them. The least recently used one is evicted first.
 *
 * @public
 */
export class StatementCache {
  private readonly names = new LRUCache<string, true>({max: MAX_STATEMENTS});

  private constructor() {}

  static create(): StatementCache {
    return new StatementCache();
  }

  /** Whether the statement exists. Marks it as recently used. */
  has(name: string): boolean {
    return this.names.get(name) === true;
  }

  /** Records that the statement has been prepared. */
  add(name: string): void {
    this.names.set(name, true);
  }

  /** Removes a statement that is being closed. */
  remove(name: string): void {
    this.names.delete(name);
  }

  /**
   * Returns the statement to close before another one is added, or null if the
   * limit is not reached.
   */
  findEvictable(): string | null {
    if (this.names.size < MAX_STATEMENTS) {
      return null;
    }
    return this.names.rkeys().next().value ?? null;
  }
}
