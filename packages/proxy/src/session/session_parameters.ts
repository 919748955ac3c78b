/**
 * Run-time parameters that a session has changed. They are applied to each
 * pooled connection that the session uses. The map is immutable: a change
 * creates a new one, so unchanged values can be recognized by identity.
 *
 * @public
 */
export type ParameterValues = ReadonlyMap<string, string>;

/** Values of a session that has changed no parameter. @public */
export const NO_PARAMETERS: ParameterValues = new Map();

/** Returns the values with one changed; null resets a parameter. @public */
export function setParameter(
  values: ParameterValues,
  name: string,
  value: string | null,
): ParameterValues {
  if (value === null) {
    return removeParameter(values, name);
  }
  if (values.get(name) === value) {
    return values;
  }
  const changed = new Map(values);
  changed.set(name, value);
  return changed;
}

function removeParameter(
  values: ParameterValues,
  name: string,
): ParameterValues {
  if (!values.has(name)) {
    return values;
  }
  const changed = new Map(values);
  changed.delete(name);
  return changed.size === 0 ? NO_PARAMETERS : changed;
}

/**
 * Returns SQL that changes a connection's parameters from one set of values
 * to another, or null when nothing differs.
 *
 * @public
 */
export function createParameterChangeSql(
  from: ParameterValues,
  to: ParameterValues,
): string | null {
  if (from === to) {
    return null;
  }
  const statements: string[] = [];
  for (const name of from.keys()) {
    if (!to.has(name)) {
      statements.push(`RESET ${quoteName(name)}`);
    }
  }
  for (const [name, value] of to) {
    if (from.get(name) !== value) {
      statements.push(`SET ${quoteName(name)} TO ${formatValue(name, value)}`);
    }
  }
  return statements.length === 0 ? null : statements.join('; ');
}

/**
 * Parameters whose value is a list of names. Each item is quoted separately,
 * since a single quoted text would be read as one name.
 */
const LIST_PARAMETERS: ReadonlySet<string> = new Set([
  'search_path',
  'datestyle',
]);

function formatValue(name: string, value: string): string {
  if (!LIST_PARAMETERS.has(name)) {
    return quoteValue(value);
  }
  const items: string[] = [];
  for (const item of value.split(',')) {
    items.push(quoteValue(item.trim().replace(/^"(.*)"$/, '$1')));
  }
  return items.join(', ');
}

function quoteName(name: string): string {
  return name
    .split('.')
    .map(part => `"${part.replaceAll('"', '""')}"`)
    .join('.');
}

function quoteValue(value: string): string {
  const quoted = `'${value.replaceAll("'", "''")}'`;
  // Without the E prefix, an old server or one with
  // standard_conforming_strings off would treat a backslash as an escape.
  return value.includes('\\') ? ` E${quoted.replaceAll('\\', '\\\\')}` : quoted;
}
