import {createHash} from 'node:crypto';
import type {ClassifiedStatement} from '@filbertrun/sql/statement_class.js';

/** Maximum number of prepared statements in a session. */
const MAX_STATEMENTS = 1000;

/** Number of hash characters in a statement's name on backend connections. */
const NAME_HASH_CHARACTERS = 32;

/** A prepared statement of a session. @public */
export interface PreparedStatement {
  readonly text: string;
  readonly parameterTypes: readonly number[];
  readonly classified: ClassifiedStatement;
  /** Name on backend connections; empty for the unnamed statement. */
  readonly backendName: string;
}

/**
 * The prepared statements of one session, by the caller's name. On backend
 * connections a statement is named by a hash of its text and parameter types,
 * so sessions that prepare the same statement share it.
 *
 * @public
 */
export class PreparedStatements {
  private readonly statements = new Map<string, PreparedStatement>();

  private constructor() {}

  static create(): PreparedStatements {
    return new PreparedStatements();
  }

  get(name: string): PreparedStatement | null {
    return this.statements.get(name) ?? null;
  }

  /** Adds or replaces a statement; false when the session has too many. */
  set(name: string, statement: PreparedStatement): boolean {
    if (this.statements.size >= MAX_STATEMENTS && !this.statements.has(name)) {
      return false;
    }
    this.statements.set(name, statement);
    return true;
  }

  delete(name: string): void {
    this.statements.delete(name);
  }

  clear(): void {
    this.statements.clear();
  }
}

/** Derives the name of a statement on backend connections. @public */
export function createBackendName(
  text: string,
  parameterTypes: readonly number[],
): string {
  const hash = createHash('sha256')
    .update(text)
    .update(`\0${parameterTypes.join(',')}`)
    .digest('hex');
  return `filbertrun_${hash.slice(0, NAME_HASH_CHARACTERS)}`;
}
