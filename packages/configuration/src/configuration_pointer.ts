import {failure, success, type Result} from '@filbertrun/base/result.js';
import {z} from 'zod';
import {
  configurationChangeSchema,
  type ConfigurationChange,
} from './configuration_change.js';

/**
 * The record in the platform's table that names the accepted configuration.
 * The configuration itself is an object in the object store, named by its
 * hash. A new format gets a new `schemaVersion` and an entry in `MIGRATIONS`.
 *
 * @public
 */

/** Recent changes that a pointer lists; older change ids are forgotten. */
export const MAX_RECORDED_CHANGES = 32;

/** Recent changes that a pointer holds whole. */
const MAX_INLINE_CHANGES = 8;

/** Longest change that a pointer holds whole, in characters of JSON. */
const MAX_INLINE_CHANGE_LENGTH = 600;

/** Format that this release writes. */
const POINTER_SCHEMA_VERSION = 1;

const objectNameSchema = z.string().regex(/^[0-9a-f]{64}$/);

const recordedChangeSchema = z
  .object({
    changeId: z.string().min(1).max(64),
    /** Version that the change made. */
    version: z.number().int().positive(),
    /** Hash of the change, to tell a repeated request from a reused id. */
    digest: z.string().min(1).max(64),
    parts: z.array(z.string().max(100)).max(16).readonly(),
    summary: z.string().max(400),
    /** The change itself while it is recent and small, else null. */
    change: configurationChangeSchema.nullable(),
  })
  .readonly();

/** An accepted change. @public */
export type RecordedChange = z.infer<typeof recordedChangeSchema>;

/** Validates a pointer. @public */
export const configurationPointerSchema = z
  .object({
    schemaVersion: z.literal(POINTER_SCHEMA_VERSION),
    version: z.number().int().positive(),
    objectName: objectNameSchema,
    /** Newest last. */
    changes: z.array(recordedChangeSchema).max(MAX_RECORDED_CHANGES).readonly(),
  })
  .readonly();

/** Names the accepted configuration. @public */
export type ConfigurationPointer = z.infer<typeof configurationPointerSchema>;

type Migration = (older: unknown) => unknown;

/** Turns format N, the key, into format N + 1. */
const MIGRATIONS: ReadonlyMap<number, Migration> = new Map();

/** A pointer that cannot be read. @public */
export interface PointerError {
  readonly kind: 'malformedPointer';
  readonly reason: string;
}

/** Reads a pointer of this or an older format. @public */
export function parsePointer(
  text: string,
): Result<ConfigurationPointer, PointerError> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return failure({kind: 'malformedPointer', reason: 'not JSON'});
  }
  const parsed = configurationPointerSchema.safeParse(migrate(value));
  if (!parsed.success) {
    const reason = z.prettifyError(parsed.error);
    return failure({kind: 'malformedPointer', reason});
  }
  return success(parsed.data);
}

/** Writes a pointer. @public */
export function encodePointer(pointer: ConfigurationPointer): string {
  return JSON.stringify(pointer);
}

/** Adds a change to the list and drops what no longer fits. @public */
export function appendRecordedChange(
  changes: readonly RecordedChange[],
  added: Omit<RecordedChange, 'change'>,
  change: ConfigurationChange,
): readonly RecordedChange[] {
  const isSmall = JSON.stringify(change).length <= MAX_INLINE_CHANGE_LENGTH;
  const all = [...changes, {...added, change: isSmall ? change : null}];
  const kept = all.slice(-MAX_RECORDED_CHANGES);
  const inlineFrom = kept.length - MAX_INLINE_CHANGES;
  return kept.map((recorded, index) =>
    index < inlineFrom ? {...recorded, change: null} : recorded,
  );
}

function migrate(value: unknown): unknown {
  let current = value;
  for (;;) {
    const migration = MIGRATIONS.get(getSchemaVersion(current));
    if (migration === undefined) {
      return current;
    }
    current = migration(current);
  }
}

function getSchemaVersion(value: unknown): number {
  const parsed = z.object({schemaVersion: z.number()}).safeParse(value);
  return parsed.success ? parsed.data.schemaVersion : -1;
}
