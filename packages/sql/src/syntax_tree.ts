/**
 * Accessors for the parser's syntax tree, which is plain JSON. A node is an
 * object whose only key is its kind, in upper camel case. Names of fields start
 * with a lower-case letter.
 */

/** The fields of a node. @internal */
export type SyntaxFields = Readonly<Record<string, unknown>>;

/** A node with its kind. @internal */
export interface SyntaxNode {
  readonly kind: string;
  readonly fields: SyntaxFields;
}

const NODE_KIND_PATTERN = /^[A-Z]/;

/** Whether a value is an object with fields. @internal */
export function isFields(value: unknown): value is SyntaxFields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns a value as a node; null if it isn't one. @internal */
export function readNode(value: unknown): SyntaxNode | null {
  if (!isFields(value)) {
    return null;
  }
  for (const [kind, fields] of Object.entries(value)) {
    if (NODE_KIND_PATTERN.test(kind) && isFields(fields)) {
      return {kind, fields};
    }
  }
  return null;
}

/** Returns a value as a list; empty if it isn't one. @internal */
export function readList(value: unknown): readonly unknown[] {
  return Array.isArray(value) ? (value as readonly unknown[]) : [];
}

/** Returns a value as text; null if it isn't a string. @internal */
export function readText(value: unknown): string | null {
  return typeof value === 'string' ? value : null;
}

/**
 * Returns the parts of a qualified name, such as `pg_catalog.count`.
 *
 * @internal
 */
export function readNameParts(value: unknown): readonly string[] {
  const parts: string[] = [];
  for (const item of readList(value)) {
    const node = readNode(item);
    const part = node === null ? null : readText(node.fields['sval']);
    if (part !== null) {
      parts.push(part);
    }
  }
  return parts;
}

/**
 * Returns the last part of a name that is unqualified or qualified by
 * `pg_catalog`; null for any other name.
 *
 * @internal
 */
export function getBuiltInName(parts: readonly string[]): string | null {
  if (parts.length === 1) {
    return parts[0] ?? null;
  }
  if (parts.length === 2 && parts[0] === 'pg_catalog') {
    return parts[1] ?? null;
  }
  return null;
}
