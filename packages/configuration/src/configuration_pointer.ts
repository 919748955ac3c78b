import {failure, success, type Result} from '@filbertrun/base/result.js';
import {z} from 'zod';
import {
  configurationChangeSchema,
  type ConfigurationChange,
} from './configuration_change.js';

/**
 * The pointer: an entry of the platform's table with the version and hash of
 * the accepted configuration. The configuration itself is in the object store
 * under its hash. When the format changes, increment `schemaVersion` and add an
 * entry to `MIGRATIONS`.
 *
 * @public
 */

/** Number of recent changes in a pointer; older change ids are dropped. */
export const MAX_RECORDED_CHANGES = 32;

/** Number of recent changes that a pointer contains in full. */
const MAX_INLINE_CHANGES = 8;

/** Maximum length of a change contained in full, in characters of JSON. */
const MAX_INLINE_CHANGE_LENGTH = 600;

/** Format version that this release writes. */
const POINTER_SCHEMA_VERSION = 1;

const objectNameSchema = z.string().regex(/^[0-9a-f]{64}$/);

const recordedChangeSchema = z
  .object({
    changeId: z.string().min(1).max(64),
    /** Configuration version that the change created. */
    version: z.number().int().positive(),
    /**
     * Hash of the change, to distinguish a repeated request from a reused id.
     */
    digest: z.string().min(1).max(64),
    parts: z.array(z.string().max(100)).max(16).readonly(),
    summary: z.string().max(400),
    /** The change itself if it is recent and small, else null. */
    change: configurationChangeSchema.nullable(),
  })
  .readonly();

/** An accepted change. @public */
export type RecordedChange = z.infer<typeof recordedChangeSchema>;

/** Schema of a pointer. @public */
export const configurationPointerSchema = z
  .object({
    schemaVersion: z.literal(POINTER_SCHEMA_VERSION),
    version: z.number().int().positive(),
    objectName: objectNameSchema,
    /** Recent changes, oldest first. */
    changes: z.array(recordedChangeSchema).max(MAX_RECORDED_CHANGES).readonly(),
  })
  .readonly();

/** Version, hash and recent changes of the accepted configuration. @public */
export type ConfigurationPointer = z.infer<typeof configurationPointerSchema>;

type Migration = (older: unknown) => unknown;

/** Migrations by source format: the entry for N converts N to N + 1. */
const MIGRATIONS: ReadonlyMap<number, Migration> = new Map();

/** Why a pointer could not be parsed. @public */
export interface PointerError {
  readonly kind: 'malformedPointer';
  readonly reason: string;
}

/** Parses a pointer of the current or an older format. @public */
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

/** Serializes a pointer. @public */
export function encodePointer(pointer: ConfigurationPointer): string {
  return JSON.stringify(pointer);
}

/**
 * Appends a change, and drops old entries and contents beyond the limits.
 *
 * @public
 */
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
