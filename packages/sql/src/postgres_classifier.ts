import {loadModule, parseSync} from 'libpg-query';
import {LRUCache} from 'lru-cache';
import {readRequestKeyComment} from './request_key_comment.js';
import type {
  ClassifiedStatement,
  StatementClass,
  StatementClassifier,
} from './statement_class.js';
import {classifyTree} from './statement_tree.js';
import {isFields, readList} from './syntax_tree.js';

/** Limits of the cache of classified SQL texts. @public */
export interface ClassifierLimits {
  readonly maxEntries: number;
  /** Maximum total length of the cached texts, in characters. */
  readonly maxCachedCharacters: number;
  /** Longer texts are not cached. */
  readonly maxCachedTextCharacters: number;
}

const DEFAULT_LIMITS: ClassifierLimits = {
  maxEntries: 5_000,
  maxCachedCharacters: 2_000_000,
  maxCachedTextCharacters: 8_192,
};

const WRITE: StatementClass = {kind: 'write'};
const EMPTY: StatementClass = {kind: 'empty'};

/**
 * Classifies statements with PostgreSQL's own parser. A text that it rejects is
 * classified as a write, so the primary reports the error.
 *
 * @public
 */
export class PostgresStatementClassifier implements StatementClassifier {
  private readonly cache: LRUCache<string, StatementClass>;

  private constructor(private readonly limits: ClassifierLimits) {
    this.cache = new LRUCache({
      max: limits.maxEntries,
      maxSize: limits.maxCachedCharacters,
      sizeCalculation: (_value, text) => text.length + 1,
    });
  }

  /** Loads the parser module and creates a classifier. */
  static async create(
    limits: Partial<ClassifierLimits> = {},
  ): Promise<PostgresStatementClassifier> {
    await loadModule();
    return new PostgresStatementClassifier({...DEFAULT_LIMITS, ...limits});
  }

  /** Number of cached texts. */
  get cachedTexts(): number {
    return this.cache.size;
  }

  classify(sql: string): ClassifiedStatement {
    const comment = readRequestKeyComment(sql);
    switch (comment.kind) {
      case 'absent':
        return {statementClass: this.classifyCached(sql), requestKey: null};
      case 'malformed':
        return {
          statementClass: {
            kind: 'refused',
            feature: 'a malformed request_key comment',
          },
          requestKey: null,
        };
      case 'present':
        // The key differs between requests, so it is not part of the cache key.
        return {
          statementClass: this.classifyCached(comment.statementText),
          requestKey: comment.requestKey,
        };
    }
  }

  private classifyCached(text: string): StatementClass {
    const cached = this.cache.get(text);
    if (cached !== undefined) {
      return cached;
    }
    const statementClass = classifyText(text);
    if (text.length <= this.limits.maxCachedTextCharacters) {
      this.cache.set(text, statementClass);
    }
    return statementClass;
  }
}

function classifyText(text: string): StatementClass {
  // The parser would ignore everything after a null character.
  if (text.includes('\0')) {
    return WRITE;
  }
  if (text.trim() === '') {
    return EMPTY;
  }
  const statements = parseStatements(text);
  if (statements === null) {
    return WRITE;
  }
  const classes: StatementClass[] = [];
  for (const statement of statements) {
    classes.push(isFields(statement) ? classifyTree(statement['stmt']) : WRITE);
  }
  const [first, second] = classes;
  if (first === undefined) {
    return EMPTY;
  }
  return second === undefined ? first : {kind: 'multiple', statements: classes};
}

/** Parses the statements of a text; null if it is not valid SQL. */
function parseStatements(text: string): readonly unknown[] | null {
  try {
    const result: unknown = parseSync(text);
    return isFields(result) ? readList(result['stmts']) : null;
  } catch {
    return null;
  }
}
