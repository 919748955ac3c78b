import {LRUCache} from 'lru-cache';

/** Prepared statements that one backend connection keeps for its sessions. */
const MAX_STATEMENTS = 100;

/**
 * Which prepared statements exist on a backend connection, by the name that
 * the proxy gave them. The least recently used one gives way.
 *
 * @public
 */
export class StatementCache {
  private readonly names = new LRUCache<string, true>({max: MAX_STATEMENTS});

  private constructor() {}

  static create(): StatementCache {
    return new StatementCache();
  }

  /** Whether the statement exists; marks it as used. */
  has(name: string): boolean {
    return this.names.get(name) === true;
  }

  /** Records that the statement exists now. */
  add(name: string): void {
    this.names.set(name, true);
  }

  /** Forgets a statement that is being closed. */
  remove(name: string): void {
    this.names.delete(name);
  }

  /** Statement to close before another is added, or null while there is room. */
  findEvictable(): string | null {
    if (this.names.size < MAX_STATEMENTS) {
      return null;
    }
    return this.names.rkeys().next().value ?? null;
  }
}
