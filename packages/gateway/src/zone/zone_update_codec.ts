import * as z from 'zod';
import {
  configurationSchema,
  encodeConfiguration,
  encodeIdentifiedDelta,
  identifiedDeltaSchema,
} from '../configuration/configuration_codec.js';
import {backendServerEntrySchema} from '../directory/backend_server_entry.js';
import type {ZoneUpdate} from './zone_update.js';

/** JSON encoding of the updates that proxies of a zone exchange. */

function createTableUpdateSchema<T>(value: z.ZodType<T>) {
  return z.object({
    isListing: z.boolean(),
    revision: z.number(),
    changes: z.array(
      z.discriminatedUnion('kind', [
        z.object({
          kind: z.literal('put'),
          key: z.string(),
          revision: z.number(),
          value,
        }),
        z.object({
          kind: z.literal('removed'),
          key: z.string(),
          revision: z.number(),
        }),
        z.object({
          kind: z.literal('unreadable'),
          key: z.string(),
          revision: z.number(),
          reason: z.string(),
        }),
      ]),
    ),
  });
}

const zoneUpdateSchema = z.object({
  control: createTableUpdateSchema(z.string()).extend({
    storeTimeMs: z.number(),
    readLeadMs: z.number(),
  }),
  directory: createTableUpdateSchema(backendServerEntrySchema),
  configuration: createTableUpdateSchema(configurationSchema),
  configurationDelta: identifiedDeltaSchema.nullable().default(null),
  configurationLeadMs: z.number().nullable().default(null),
  contact: z.object({digest: z.string(), startLeadMs: z.number()}).nullable(),
});

/** Validates a request to the zone reader. @public */
export const zoneUpdateRequestSchema = z.object({
  entryVm: z.string().min(1),
  incarnation: z.string().min(1),
  controlRevision: z.number().nullable(),
  directoryRevision: z.number().nullable(),
  configurationRevision: z.number().nullable(),
  knownConfiguration: z
    .object({revision: z.number(), version: z.number()})
    .nullable()
    .optional(),
  isUrgent: z.boolean(),
  waitMs: z.number().nonnegative(),
});

/** Encodes an update as plain JSON values; maps become arrays of pairs. @public */
export function encodeZoneUpdate(update: ZoneUpdate): unknown {
  const changes = update.configuration.changes.map(change =>
    change.kind === 'put'
      ? {...change, value: encodeConfiguration(change.value)}
      : change,
  );
  const {configurationDelta} = update;
  return {
    ...update,
    configuration: {...update.configuration, changes},
    configurationDelta:
      configurationDelta === null
        ? null
        : encodeIdentifiedDelta(configurationDelta),
  };
}

/** Decodes an update; null if the value is invalid. @public */
export function decodeZoneUpdate(value: unknown): ZoneUpdate | null {
  const parsed = zoneUpdateSchema.safeParse(value);
  return parsed.success ? parsed.data : null;
}
