import type {FrontendMessage} from './frontend_message.js';
import type {MessageWriter} from './message_writer.js';
import {Portal} from './portal.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import {
  convertValue,
  decodeValue,
  getTypeByOid,
  type SqlType,
  type SqlValue,
  type WireFormat,
} from './sql_value.js';
import type {StatementCache} from './statement_cache.js';
import type {StatementPlan} from './statement_plan.js';

type ParseMessage = Extract<FrontendMessage, {kind: 'parse'}>;
type BindMessage = Extract<FrontendMessage, {kind: 'bind'}>;
type TargetMessage = Extract<FrontendMessage, {kind: 'describe' | 'close'}>;

interface PreparedStatement {
  readonly sql: string;
  readonly parameterOids: readonly number[];
}

/** The prepared statements and portals of one connection, by name. @internal */
export class PreparedStatements {
  private readonly statements = new Map<string, PreparedStatement>();
  private readonly portals = new Map<string, Portal>();

  private constructor(
    private readonly cache: StatementCache,
    private readonly writer: MessageWriter,
  ) {}

  static create(
    cache: StatementCache,
    writer: MessageWriter,
  ): PreparedStatements {
    return new PreparedStatements(cache, writer);
  }

  parse({name, sql, parameterOids}: ParseMessage): void {
    if (name !== '' && this.statements.has(name)) {
      throw SqlError.create(
        SQL_STATE.duplicateStatement,
        `prepared statement "${name}" already exists`,
      );
    }
    this.cache.getPlan(sql);
    this.statements.set(name, {sql, parameterOids});
    this.writer.writeParseComplete();
  }

  bind(message: BindMessage): void {
    const statement = this.getStatement(message.statement);
    const plan = this.cache.getPlan(statement.sql);
    const parameters = decodeParameters(message, statement, plan);
    const portal = Portal.create(plan, parameters, message.resultFormats);
    this.portals.set(message.portal, portal);
    this.writer.writeBindComplete();
  }

  describe({target, name}: TargetMessage): void {
    if (target === 'portal') {
      this.describeRows(this.getPortal(name));
      return;
    }
    const {sql, parameterOids} = this.getStatement(name);
    const plan = this.cache.getPlan(sql);
    const types = plan.parameterTypes.map(
      (type, index) => getTypeByOid(parameterOids[index] ?? 0) ?? type,
    );
    this.writer.writeParameterDescription(types);
    this.describeRows(Portal.create(plan, [], []));
  }

  close({target, name}: TargetMessage): void {
    if (target === 'portal') {
      this.portals.delete(name);
    } else {
      this.statements.delete(name);
    }
    this.writer.writeCloseComplete();
  }

  getPortal(name: string): Portal {
    const portal = this.portals.get(name);
    if (portal === undefined) {
      throw SqlError.create(
        SQL_STATE.invalidCursorName,
        `portal "${name}" does not exist`,
      );
    }
    return portal;
  }

  /** Closes all portals, which end with their transaction. */
  closePortals(): void {
    this.portals.clear();
  }

  /** Removes the statement with a name, or all if it is null. */
  deallocate(name: string | null): void {
    if (name === null) {
      this.statements.clear();
    } else {
      this.statements.delete(name);
    }
  }

  private getStatement(name: string): PreparedStatement {
    const statement = this.statements.get(name);
    if (statement === undefined) {
      throw SqlError.create(
        SQL_STATE.invalidStatementName,
        `prepared statement "${name}" does not exist`,
      );
    }
    return statement;
  }

  private describeRows(portal: Portal): void {
    if (portal.fields.length === 0) {
      this.writer.writeNoData();
    } else {
      this.writer.writeRowDescription(portal.fields);
    }
  }
}

function decodeParameters(
  message: BindMessage,
  statement: PreparedStatement,
  plan: StatementPlan,
): readonly SqlValue[] {
  const {parameters} = message;
  if (parameters.length !== plan.parameterTypes.length) {
    throw SqlError.create(
      SQL_STATE.protocolViolation,
      `bind message supplies ${parameters.length} parameters, but the statement requires ${plan.parameterTypes.length}`,
    );
  }
  return parameters.map((bytes, index) => {
    const type = plan.parameterTypes[index] ?? 'text';
    const sentType = getTypeByOid(statement.parameterOids[index] ?? 0);
    const format = getParameterFormat(message.parameterFormats, index);
    return decodeParameter(bytes, sentType ?? type, type, format);
  });
}

function decodeParameter(
  bytes: Buffer | null,
  sentType: SqlType,
  type: SqlType,
  format: WireFormat,
): SqlValue {
  if (bytes === null) {
    return null;
  }
  return convertValue(decodeValue(bytes, sentType, format), type);
}

function getParameterFormat(
  formats: readonly WireFormat[],
  index: number,
): WireFormat {
  const [sharedFormat = 'text'] = formats;
  return formats.length > 1 ? (formats[index] ?? 'text') : sharedFormat;
}
