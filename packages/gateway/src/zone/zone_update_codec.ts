import * as z from 'zod';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import {customerSchema} from '../customer/customer.js';
import {CustomerDirectory} from '../customer/customer_directory.js';
import {backendServerEntrySchema} from '../directory/backend_server_entry.js';
import type {ZoneUpdate} from './zone_update.js';

/** JSON encoding of the updates that proxies of a zone exchange. */

const routeSchema = z.object({
  databaseName: z.string(),
  databaseGroup: z.string(),
  consistency: z.enum(['strict', 'session', 'age']),
  maxAgeMs: z.number().nullable(),
  statementTimeoutMs: z.number(),
  targetLatencyMs: z.number(),
  priority: z.enum(['booking', 'normal', 'lookup']),
  isPublic: z.boolean(),
});

const configurationSchema = z
  .object({
    version: z.number(),
    routes: z.array(z.tuple([z.string(), routeSchema])),
    databaseGroups: z.array(
      z.tuple([
        z.string(),
        z.object({
          databaseGroup: z.string(),
          maxConnections: z.number(),
          synchronousReplicaCount: z.number(),
        }),
      ]),
    ),
    customers: z.array(customerSchema).nullable(),
    transactionIdleTimeoutMs: z.number(),
  })
  .transform((value): ServiceConfiguration => ({
    ...value,
    routes: new Map(value.routes),
    databaseGroups: new Map(value.databaseGroups),
    customers:
      value.customers === null
        ? null
        : CustomerDirectory.create(value.customers),
  }));

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
  return {...update, configuration: {...update.configuration, changes}};
}

/** Decodes an update; null if the value is invalid. @public */
export function decodeZoneUpdate(value: unknown): ZoneUpdate | null {
  const parsed = zoneUpdateSchema.safeParse(value);
  return parsed.success ? parsed.data : null;
}

function encodeConfiguration(configuration: ServiceConfiguration): unknown {
  return {
    ...configuration,
    routes: [...configuration.routes],
    databaseGroups: [...configuration.databaseGroups],
    customers: configuration.customers?.customers ?? null,
  };
}
