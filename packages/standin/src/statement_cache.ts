import {LRUCache} from 'lru-cache';
import {parse, type Statement} from 'pgsql-ast-parser';
import type {Database} from './database.js';
import {SQL_STATE, SqlError, createNotSupportedError} from './sql_error.js';
import {compileStatement} from './statement_compiler.js';
import type {StatementPlan} from './statement_plan.js';
import {splitStatements} from './statement_splitter.js';
import {parseUtilityStatement} from './utility_statement.js';

/** Maximum number of SQL texts in each cache. */
const MAX_CACHED_TEXTS = 5000;

/** PostgreSQL commands that the parser library does not support. */
const UNPARSED_COMMAND_PATTERN =
  /^(?:SAVEPOINT|RELEASE|DECLARE|FETCH|MOVE|CLOSE|COPY|LOCK|NOTIFY|EXECUTE|VACUUM|ANALYZE|EXPLAIN|CALL|DO|MERGE|GRANT|REVOKE|CLUSTER|REINDEX|CHECKPOINT|LOAD)\b/i;

/** Shared by all instances, since parsing does not depend on tables. */
const parsedStatements = new LRUCache<string, Statement>({
  max: MAX_CACHED_TEXTS,
});

interface CachedPlans {
  readonly catalogVersion: number;
  readonly plans: readonly StatementPlan[];
}

/** Compiles SQL for the tables of one instance; caches the plans. @internal */
export class StatementCache {
  private readonly cache = new LRUCache<string, CachedPlans>({
    max: MAX_CACHED_TEXTS,
  });

  private constructor(private readonly database: Database) {}

  static create(database: Database): StatementCache {
    return new StatementCache(database);
  }

  /** Returns the plan of a text with at most one statement. */
  getPlan(sql: string): StatementPlan {
    const cached = this.findCached(sql);
    if (cached?.length === 1 && cached[0] !== undefined) {
      return cached[0];
    }
    const texts = splitStatements(sql);
    const [text] = texts;
    if (texts.length > 1) {
      throw SqlError.create(
        SQL_STATE.syntaxError,
        'cannot insert multiple commands into a prepared statement',
      );
    }
    const plan = text === undefined ? EMPTY_PLAN : this.compile(text);
    this.store(sql, [plan]);
    return plan;
  }

  /** Returns the cached plans of a text; null if missing or outdated. */
  findCached(sql: string): readonly StatementPlan[] | null {
    const cached = this.cache.get(sql);
    if (cached?.catalogVersion !== this.database.getCatalogVersion()) {
      return null;
    }
    return cached.plans;
  }

  private store(sql: string, plans: readonly StatementPlan[]): void {
    const catalogVersion = this.database.getCatalogVersion();
    this.cache.set(sql, {catalogVersion, plans});
  }

  private compile(text: string): StatementPlan {
    const utility = parseUtilityStatement(text);
    if (utility === null) {
      return compileStatement(parseStatement(text), this.database);
    }
    const columns =
      utility.kind === 'show'
        ? [
            {
              name: utility.parameter,
              type: 'text' as const,
              expression: SHOW_VALUE_EXPRESSION,
            },
          ]
        : [];
    return {
      body: {kind: 'utility', statement: utility, columns},
      parameterTypes: [],
    };
  }
}

const SHOW_VALUE_EXPRESSION = {
  type: 'text',
  name: 'value',
  evaluate: (row: readonly (string | number | boolean | null)[]) =>
    row[0] ?? null,
} as const;

const EMPTY_PLAN: StatementPlan = {
  body: {kind: 'empty', columns: []},
  parameterTypes: [],
};

function parseStatement(text: string): Statement {
  const cached = parsedStatements.get(text);
  if (cached !== undefined) {
    return cached;
  }
  let statements: readonly Statement[];
  try {
    statements = parse(text);
  } catch (error) {
    if (UNPARSED_COMMAND_PATTERN.test(text)) {
      throw createNotSupportedError(`The statement "${text.slice(0, 60)}"`);
    }
    const message = error instanceof Error ? error.message : String(error);
    throw SqlError.create(SQL_STATE.syntaxError, message.split('\n')[0] ?? '');
  }
  const [statement] = statements;
  if (statement === undefined || statements.length > 1) {
    throw SqlError.create(SQL_STATE.syntaxError, 'not a single statement');
  }
  parsedStatements.set(text, statement);
  return statement;
}
