/**
 * Run-time parameters that a session has changed. They are replayed on each
 * pooled connection that the session uses. Values never change; each change
 * gives a new map, so that equal sessions share one by identity.
 *
 * @public
 */
export type ParameterValues = ReadonlyMap<string, string>;

/** No parameter changed. @public */
export const NO_PARAMETERS: ParameterValues = new Map();

/** The values with one more change; null takes the parameter back to its default. @public */
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
 * SQL that takes a connection from one set of values to another; null when
 * they are equal.
 *
 * @public
 */
export function createParameterChange(
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

/** Parameters whose value is a list of names; one quoted text would be one name. */
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
  // Without the prefix a backslash could be an escape on an old server.
  return value.includes('\\') ? ` E${quoted.replaceAll('\\', '\\\\')}` : quoted;
}
