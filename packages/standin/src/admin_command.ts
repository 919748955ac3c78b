import {z} from 'zod';

/**
 * Commands of the stand-in's admin interface. A command is sent as
 * `POST /admin/KIND` with its other fields as a JSON body.
 */

/** Instance name that selects all instances. @public */
export const ALL_INSTANCES = '*';

const name = z.string().min(1).max(64);
const durationMs = z.number().min(0).max(3_600_000);
const count = z.number().int().min(0).max(1_000_000);

/** Validates an admin command. @public */
export const adminCommandSchema = z.discriminatedUnion('kind', [
  /** Breaks all connections and closes the port; the log is kept. */
  z.object({kind: z.literal('crash'), instance: name}),
  z.object({kind: z.literal('restart'), instance: name}),
  /** The instance stops processing, but its connections stay open. */
  z.object({kind: z.literal('pause'), instance: name, isPaused: z.boolean()}),
  /** Drops replication traffic with peers; connections are still served. */
  z.object({
    kind: z.literal('isolate'),
    instance: name,
    isIsolated: z.boolean(),
  }),
  /**
   * Cuts or restores traffic between two availability zones or a zone and
   * `platform`.
   */
  z.object({
    kind: z.literal('cut'),
    from: name,
    to: name,
    isCut: z.boolean(),
    isTwoWay: z.boolean().default(true),
  }),
  /** Removes all cuts, pauses, isolations and response faults; lags stay. */
  z.object({kind: z.literal('heal')}),
  /** Sets the replication lag of a replica. */
  z.object({kind: z.literal('lag'), instance: name, lagMs: durationMs}),
  z.object({
    kind: z.literal('limits'),
    instance: name,
    slots: count.min(1).optional(),
    maxConnections: count.optional(),
    connectTimeMs: durationMs.optional(),
    serviceTimeMs: durationMs.optional(),
    lockTimeoutMs: durationMs.optional(),
  }),
  /** One-way latency between two zones. */
  z.object({kind: z.literal('latency'), zoneLatencyMs: durationMs}),
  /**
   * Delays all responses, or breaks the connection instead of sending the
   * response for each of the next `answersToDrop` commits.
   */
  z.object({
    kind: z.literal('answers'),
    instance: name,
    delayMs: durationMs.optional(),
    answersToDrop: count.optional(),
  }),
  z.object({
    kind: z.literal('platform'),
    isDown: z.boolean().optional(),
    latencyMs: durationMs.optional(),
    vmListLagMs: durationMs.optional(),
    losesNextAnswer: z.boolean().optional(),
  }),
]);

/** A command of the admin interface. @public */
export type AdminCommand = z.infer<typeof adminCommandSchema>;
