/**
 * Splits a SQL text into statements, without terminators and without the
 * comments around each statement. Semicolons in quotes, dollar quotes and
 * nested comments do not end a statement.
 *
 * @internal
 */
export function splitStatements(sql: string): readonly string[] {
  if (!sql.includes(';') && !sql.includes('--') && !sql.includes('/*')) {
    const trimmed = sql.trim();
    return trimmed === '' ? [] : [trimmed];
  }
  const statements: string[] = [];
  let start = -1;
  let end = 0;
  let index = 0;
  while (index < sql.length) {
    if (sql[index] === ';') {
      addStatement(statements, sql, start, end);
      start = -1;
      index++;
      continue;
    }
    const afterSpace = skipSpaceOrComment(sql, index);
    if (afterSpace > index) {
      index = afterSpace;
      continue;
    }
    if (start === -1) {
      start = index;
    }
    index = skipToken(sql, index);
    end = index;
  }
  addStatement(statements, sql, start, end);
  return statements;
}

function addStatement(
  statements: string[],
  sql: string,
  start: number,
  end: number,
): void {
  if (start !== -1) {
    statements.push(sql.slice(start, end));
  }
}

function skipSpaceOrComment(sql: string, index: number): number {
  if (/\s/.test(sql[index] ?? '')) {
    return index + 1;
  }
  if (sql.startsWith('--', index)) {
    const lineEnd = sql.indexOf('\n', index);
    return lineEnd === -1 ? sql.length : lineEnd + 1;
  }
  return sql.startsWith('/*', index) ? skipBlockComment(sql, index) : index;
}

function skipBlockComment(sql: string, index: number): number {
  let depth = 0;
  let position = index;
  while (position < sql.length) {
    if (sql.startsWith('/*', position)) {
      depth++;
      position += 2;
    } else if (sql.startsWith('*/', position)) {
      depth--;
      position += 2;
      if (depth === 0) {
        return position;
      }
    } else {
      position++;
    }
  }
  return sql.length;
}

function skipToken(sql: string, index: number): number {
  const character = sql[index];
  if (character === "'" || character === '"') {
    const close = sql.indexOf(character, index + 1);
    return close === -1 ? sql.length : close + 1;
  }
  const dollarQuote = /^\$(?:[A-Za-z_]\w*)?\$/.exec(
    sql.slice(index, index + 64),
  );
  if (dollarQuote !== null) {
    const close = sql.indexOf(dollarQuote[0], index + dollarQuote[0].length);
    return close === -1 ? sql.length : close + dollarQuote[0].length;
  }
  return index + 1;
}
