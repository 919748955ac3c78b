import {deflateRawSync, inflateRawSync} from 'node:zlib';
import * as z from 'zod';
import {customerSchema} from '../customer/customer.js';
import {CustomerDirectory} from '../customer/customer_directory.js';
import type {IdentifiedDelta} from './configuration_history.js';
import {
  databaseRouteSchema,
  type ServiceConfiguration,
} from './service_configuration.js';

/** JSON encoding of configurations that proxies send to each other. */

const databaseGroupSchema = z.object({
  databaseGroup: z.string(),
  maxConnections: z.number(),
  synchronousReplicaCount: z.number(),
});

/** Validates an encoded configuration and decodes it. @public */
export const configurationSchema = z
  .object({
    version: z.number(),
    routes: z.array(z.tuple([z.string(), databaseRouteSchema])),
    databaseGroups: z.array(z.tuple([z.string(), databaseGroupSchema])),
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

/** Encodes a configuration as plain JSON values. @public */
export function encodeConfiguration(
  configuration: ServiceConfiguration,
): unknown {
  return {
    ...configuration,
    routes: [...configuration.routes],
    databaseGroups: [...configuration.databaseGroups],
    customers: configuration.customers?.customers ?? null,
  };
}

const customersDeltaSchema = z.discriminatedUnion('kind', [
  z.object({kind: z.literal('unchanged')}),
  z.object({
    kind: z.literal('replaced'),
    customers: z.array(customerSchema).nullable(),
  }),
  z.object({
    kind: z.literal('changed'),
    put: z.array(customerSchema),
    names: z.array(z.string()),
  }),
]);

const deltaSchema = z.object({
  version: z.number(),
  routes: z.object({
    put: z.array(z.tuple([z.string(), databaseRouteSchema])),
    removed: z.array(z.string()),
  }),
  databaseGroups: z.object({
    put: z.array(z.tuple([z.string(), databaseGroupSchema])),
    removed: z.array(z.string()),
  }),
  customers: customersDeltaSchema,
  transactionIdleTimeoutMs: z.number(),
});

/** Text length above which a delta is compressed. */
const MIN_COMPRESSED_LENGTH = 2_000;

/** Fastest level: most of a delta are repeated names of fields. */
const COMPRESSION_LEVEL = 1;

/** Largest decompressed delta. */
const MAX_DELTA_BYTES = 64 * 1024 * 1024;

const encodedDeltaSchema = z.object({
  base: z.object({revision: z.number(), version: z.number()}).nullable(),
  revision: z.number(),
  /** JSON text, or its DEFLATE compression in base64. */
  encoding: z.enum(['json', 'deflate']),
  delta: z.string(),
});

/** Validates an encoded delta and decodes it. @public */
export const identifiedDeltaSchema = encodedDeltaSchema.transform(
  (value, context): IdentifiedDelta => {
    const {base, revision} = value;
    const parsed = deltaSchema.safeParse(parseDelta(value));
    if (!parsed.success) {
      context.addIssue({code: 'custom', message: 'invalid delta'});
      return z.NEVER;
    }
    return {base, revision, delta: parsed.data};
  },
);

/** Texts of deltas; a zone reader sends the same one to several followers. */
const encodedDeltas = new WeakMap<
  IdentifiedDelta,
  z.infer<typeof encodedDeltaSchema>
>();

/** Encodes a delta as plain JSON values. @public */
export function encodeIdentifiedDelta(
  identified: IdentifiedDelta,
): z.infer<typeof encodedDeltaSchema> {
  const known = encodedDeltas.get(identified);
  if (known !== undefined) {
    return known;
  }
  const {base, revision, delta} = identified;
  const text = JSON.stringify(delta);
  const encoded =
    text.length < MIN_COMPRESSED_LENGTH
      ? {base, revision, encoding: 'json' as const, delta: text}
      : {base, revision, encoding: 'deflate' as const, delta: compress(text)};
  encodedDeltas.set(identified, encoded);
  return encoded;
}

function compress(text: string): string {
  return deflateRawSync(text, {level: COMPRESSION_LEVEL}).toString('base64');
}

/** Returns the parsed JSON text, or null if it is malformed. */
function parseDelta({
  encoding,
  delta,
}: z.infer<typeof encodedDeltaSchema>): unknown {
  try {
    const text =
      encoding === 'json'
        ? delta
        : inflateRawSync(Buffer.from(delta, 'base64'), {
            maxOutputLength: MAX_DELTA_BYTES,
          }).toString('utf8');
    return JSON.parse(text);
  } catch {
    // The schema rejects null, and the message counts as malformed.
    return null;
  }
}
