import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {
  backendServerSchema,
  databaseGroupSchema,
  readRuleSchema,
} from '@filbertrun/model/configuration.js';
import {z} from 'zod';

/**
 * Changes of the configuration. Changes are small, and applying one is pure and
 * deterministic, so a proxy can apply it to its held version instead of
 * downloading the next version as a whole.
 *
 * @public
 */

const nameSchema = z.string().min(1).max(64);

/** Schema of a change. @public */
export const configurationChangeSchema = z
  .discriminatedUnion('kind', [
    z.object({
      kind: z.literal('replaceReadRules'),
      readRules: z.array(readRuleSchema).max(20_000).readonly(),
    }),
    z.object({
      kind: z.literal('replaceDatabaseGroups'),
      databaseGroups: z.array(databaseGroupSchema).max(2000).readonly(),
    }),
    z.object({
      kind: z.literal('addBackendServer'),
      databaseGroup: nameSchema,
      server: backendServerSchema,
    }),
    z.object({
      kind: z.literal('removeBackendServer'),
      backendServer: nameSchema,
    }),
    z.object({
      kind: z.literal('drainBackendServer'),
      backendServer: nameSchema,
    }),
    z.object({
      kind: z.literal('undrainBackendServer'),
      backendServer: nameSchema,
    }),
    z.object({
      kind: z.literal('shiftLoad'),
      weights: z
        .array(
          z.object({
            backendServer: nameSchema,
            weight: z.number().int().min(0).max(100),
          }),
        )
        .min(1)
        .max(16)
        .readonly(),
    }),
  ])
  .readonly();

/** A change of the configuration. @public */
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>;

/** Schema of a request for a change. @public */
export const changeRequestSchema = z
  .object({
    /** Idempotency key: requests with the same id are applied once. */
    changeId: z
      .string()
      .regex(
        /^[A-Za-z0-9._:-]{1,64}$/,
        '1 to 64 letters, digits, ".", "_", ":" or "-"',
      ),
    /**
     * Version on which the operator based the change; null if not specified.
     */
    baseVersion: z.number().int().nonnegative().nullable(),
    change: configurationChangeSchema,
  })
  .readonly();

/** A request for a change. @public */
export type ChangeRequest = z.infer<typeof changeRequestSchema>;

/** Name of the part that contains the read rules. */
const READ_RULES_PART = 'readRules';

/** Name of the part that contains all database groups. */
const ALL_GROUPS_PART = 'databaseGroups';

/**
 * Returns the names of the parts of the configuration that a change affects:
 * `readRules`, `databaseGroups` (all of them) or `backendServer/NAME`.
 *
 * @public
 */
export function getChangedParts(
  change: ConfigurationChange,
): readonly string[] {
  switch (change.kind) {
    case 'replaceReadRules':
      return [READ_RULES_PART];
    case 'replaceDatabaseGroups':
      return [ALL_GROUPS_PART];
    case 'addBackendServer':
      return [getServerPart(change.server.backendServer)];
    case 'removeBackendServer':
    case 'drainBackendServer':
    case 'undrainBackendServer':
      return [getServerPart(change.backendServer)];
    case 'shiftLoad':
      return change.weights.map(entry => getServerPart(entry.backendServer));
    default:
      return exhaustiveSwitchError(change);
  }
}

/** Whether two concurrent changes of these parts conflict. @public */
export function doPartsOverlap(
  left: readonly string[],
  right: readonly string[],
): boolean {
  if (left.includes(ALL_GROUPS_PART) || right.includes(ALL_GROUPS_PART)) {
    return true;
  }
  return left.some(part => right.includes(part));
}

/** Describes a change for an operator. @public */
export function describeChange(change: ConfigurationChange): string {
  switch (change.kind) {
    case 'replaceReadRules':
      return `replace the read rules by ${change.readRules.length} rules`;
    case 'replaceDatabaseGroups':
      return `replace the database groups by ${change.databaseGroups.length} groups`;
    case 'addBackendServer':
      return `add backend server ${change.server.backendServer} to ${change.databaseGroup}`;
    case 'removeBackendServer':
      return `remove backend server ${change.backendServer}`;
    case 'drainBackendServer':
      return `drain backend server ${change.backendServer}`;
    case 'undrainBackendServer':
      return `undrain backend server ${change.backendServer}`;
    case 'shiftLoad':
      return `set weights ${change.weights
        .map(entry => `${entry.backendServer}=${entry.weight}`)
        .join(', ')}`;
    default:
      return exhaustiveSwitchError(change);
  }
}

function getServerPart(backendServer: string): string {
  return `backendServer/${backendServer}`;
}
