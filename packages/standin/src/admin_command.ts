import {z} from 'zod';

/**
 * Commands of the stand-in's admin interface: `POST /admin/KIND` with the
 * other fields as JSON.
 */

/** Stands for every instance. @public */
export const ALL_INSTANCES = '*';

const name = z.string().min(1).max(64);
const durationMs = z.number().min(0).max(3_600_000);
const count = z.number().int().min(0).max(1_000_000);

/** Validates an admin command. @public */
export const adminCommandSchema = z.discriminatedUnion('kind', [
  /** Breaks all connections and closes the port; the log is kept. */
  z.object({kind: z.literal('crash'), instance: name}),
  z.object({kind: z.literal('restart'), instance: name}),
  /** The instance does nothing, but its connections stay open. */
  z.object({kind: z.literal('pause'), instance: name, isPaused: z.boolean()}),
  /** The instance exchanges nothing with its peers but serves connections. */
  z.object({
    kind: z.literal('isolate'),
    instance: name,
    isIsolated: z.boolean(),
  }),
  /** Cuts one availability zone, or `platform`, from another. */
  z.object({
    kind: z.literal('cut'),
    from: name,
    to: name,
    isCut: z.boolean(),
    isTwoWay: z.boolean().default(true),
  }),
  /** Ends all cuts, pauses, isolations and answer faults; lags stay. */
  z.object({kind: z.literal('heal')}),
  /** Time until a commit reaches a replica. */
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
  /** Latency between two zones, one way. */
  z.object({kind: z.literal('latency'), zoneLatencyMs: durationMs}),
  /** Delays all answers, or drops the answers of the next commits. */
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
