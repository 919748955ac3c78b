import {
  changeRequestSchema,
  configurationChangeSchema,
} from '@filbertrun/configuration/configuration_change.js';
import {configurationPointerSchema} from '@filbertrun/configuration/configuration_pointer.js';
import {
  MAX_UPDATES_PER_HEARTBEAT,
  memberRecordSchema,
} from '@filbertrun/membership/member.js';
import {z} from 'zod';

/**
 * The messages between proxies, and between operators' programs and proxies.
 * Inputs are checked by the one that answers, outputs by the one that asked.
 *
 * @public
 */

const nameSchema = z.string().min(1).max(64);
const termSchema = z.number().int().nonnegative();
const objectNameSchema = z.string().regex(/^[0-9a-f]{64}$/);

/** Database groups that one message lists at most. */
const MAX_GROUP_VIEWS = 2000;

/** Longest time for which one message holds writes. */
const MAX_HOLD_MS = 10_000;

/** Longest body of a configuration, in characters. */
const MAX_BODY_LENGTH = 8_000_000;

/** Validates the name of a configuration version. @public */
export const versionNameSchema = z
  .object({
    version: z.number().int().nonnegative(),
    objectName: objectNameSchema,
  })
  .readonly();

/** Validates what a proxy knows of the primary of a database group. @public */
export const groupViewSchema = z
  .object({
    databaseGroup: nameSchema,
    term: termSchema,
    /** Primary of the term; null while it is being chosen. */
    primary: nameSchema.nullable(),
  })
  .readonly();

/** What a proxy knows of the primary of a database group. @public */
export type GroupView = z.infer<typeof groupViewSchema>;

/** Validates a heartbeat and its answer. @public */
export const heartbeatSchema = z
  .object({
    sender: memberRecordSchema,
    /**
     * Version that the sender holds, 0 while it holds none. The platform's
     * table gives each version to one object, so the number names it.
     */
    configurationVersion: z.number().int().nonnegative(),
    /** Hash of the sender's member table. */
    membersDigest: z.number().int().nonnegative(),
    /** Hash of the sender's group views. */
    groupViewsDigest: z.number().int().nonnegative(),
    updates: z
      .array(memberRecordSchema)
      .max(MAX_UPDATES_PER_HEARTBEAT)
      .readonly(),
  })
  .readonly();

/** A heartbeat or its answer. @public */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Validates what a proxy saw of a primary. @public */
export const suspicionAnswerSchema = z
  .object({
    entryVm: nameSchema,
    availabilityZone: nameSchema,
    /** Whether the proxy watches the group and so has a view of its own. */
    isWatching: z.boolean(),
    /** Highest term that the proxy knows of. */
    term: termSchema,
    primary: nameSchema.nullable(),
    /** Time since the primary last answered this proxy; null when it never did. */
    silentForMs: z.number().nonnegative().nullable(),
    /** Whether the proxy itself holds the primary to have failed. */
    isSuspected: z.boolean(),
  })
  .readonly();

/** What a proxy saw of a primary. @public */
export type SuspicionAnswer = z.infer<typeof suspicionAnswerSchema>;

const changeReceiptSchema = z
  .object({
    changeId: nameSchema,
    version: z.number().int().nonnegative(),
    objectName: objectNameSchema,
    effect: z.enum(['accepted', 'repeated', 'unchanged']),
  })
  .readonly();

const recordedChangeSchema = z
  .object({
    changeId: nameSchema,
    version: z.number().int().positive(),
    digest: z.string().max(64),
    parts: z.array(z.string().max(100)).max(16).readonly(),
    summary: z.string().max(400),
    change: configurationChangeSchema.nullable(),
  })
  .readonly();

const changeErrorSchema = z
  .discriminatedUnion('kind', [
    z.object({kind: z.literal('conflict'), winner: recordedChangeSchema}),
    z.object({kind: z.literal('baseTooOld'), oldestKnownVersion: z.number()}),
    z.object({kind: z.literal('baseInFuture'), currentVersion: z.number()}),
    z.object({
      kind: z.literal('changeIdReused'),
      earlier: recordedChangeSchema,
    }),
    z.object({kind: z.literal('invalid'), reason: z.string()}),
    z.object({kind: z.literal('unavailable'), reason: z.string()}),
    z.object({kind: z.literal('outcomeUnknown'), reason: z.string()}),
  ])
  .readonly();

/** Validates the answer to a submitted change. @public */
export const submitAnswerSchema = z.discriminatedUnion('ok', [
  z.object({ok: z.literal(true), value: changeReceiptSchema}).readonly(),
  z.object({ok: z.literal(false), error: changeErrorSchema}).readonly(),
]);

/** Validates a request for a planned change of primary. @public */
export const changePrimaryRequestSchema = z
  .object({
    databaseGroup: nameSchema,
    /** The instance to promote; null lets the system choose. */
    backendServer: nameSchema.nullable(),
    changeId: nameSchema,
  })
  .readonly();

/** A request for a planned change of primary. @public */
export type ChangePrimaryRequest = z.infer<typeof changePrimaryRequestSchema>;

/** Validates the answer to a planned change of primary. @public */
export const changePrimaryAnswerSchema = z.discriminatedUnion('kind', [
  z
    .object({
      kind: z.literal('changed'),
      term: termSchema,
      primary: nameSchema,
      gapMs: z.number().nonnegative().nullable(),
    })
    .readonly(),
  z.object({kind: z.literal('refused'), reason: z.string()}).readonly(),
  z.object({kind: z.literal('outcomeUnknown'), reason: z.string()}).readonly(),
]);

/** The answer to a planned change of primary. @public */
export type ChangePrimaryAnswer = z.infer<typeof changePrimaryAnswerSchema>;

/** Validates what a proxy says of itself to operators. @public */
export const proxyStatusSchema = z
  .object({
    entryVm: nameSchema,
    availabilityZone: nameSchema,
    incarnation: z.number().int().nonnegative(),
    isReady: z.boolean(),
    isLeaving: z.boolean(),
    configuration: versionNameSchema.nullable(),
    members: z.array(memberRecordSchema).max(5000).readonly(),
    groupViews: z.array(groupViewSchema).max(MAX_GROUP_VIEWS).readonly(),
  })
  .readonly();

/** What a proxy says of itself to operators. @public */
export type ProxyStatus = z.infer<typeof proxyStatusSchema>;

const emptySchema = z.object({}).readonly();

/** How an instance looks from a proxy. @public */
export type InstanceHealth = 'healthy' | 'refused' | 'silent' | 'unknown';

/** Who may call a procedure. @public */
export type PeerRole = 'peer' | 'operator';

/** The procedures with the forms of their inputs and outputs. @public */
export const PEER_PROCEDURES = {
  heartbeat: {input: heartbeatSchema, output: heartbeatSchema, role: 'peer'},
  getMembers: {
    input: emptySchema,
    output: z.array(memberRecordSchema).max(5000).readonly(),
    role: 'peer',
  },
  /** Asks when the receiver last heard from a member. */
  askSilence: {
    input: z.object({entryVm: nameSchema}).readonly(),
    output: z
      .object({silentForMs: z.number().nonnegative().nullable()})
      .readonly(),
    role: 'peer',
  },
  getConfigurationPointer: {
    input: emptySchema,
    output: z.discriminatedUnion('kind', [
      z.object({kind: z.literal('notReady')}).readonly(),
      z
        .object({
          kind: z.literal('held'),
          pointer: configurationPointerSchema.nullable(),
        })
        .readonly(),
    ]),
    role: 'peer',
  },
  getConfigurationBody: {
    input: z.object({objectName: objectNameSchema}).readonly(),
    output: z.object({body: z.string().max(MAX_BODY_LENGTH).nullable()}),
    role: 'peer',
  },
  askSuspicion: {
    input: z.object({databaseGroup: nameSchema, term: termSchema}).readonly(),
    output: suspicionAnswerSchema,
    role: 'peer',
  },
  /** Asks how an instance looks from the receiver, probed anew. */
  probeInstance: {
    input: z
      .object({databaseGroup: nameSchema, backendServer: nameSchema})
      .readonly(),
    output: z
      .object({health: z.enum(['healthy', 'refused', 'silent', 'unknown'])})
      .readonly(),
    role: 'peer',
  },
  /** Asks the receiver to hold new writes for a time; 0 releases them. */
  holdWrites: {
    input: z
      .object({
        databaseGroup: nameSchema,
        holdMs: z.number().nonnegative().max(MAX_HOLD_MS),
      })
      .readonly(),
    output: emptySchema,
    role: 'peer',
  },
  announceGroupViews: {
    input: z
      .object({views: z.array(groupViewSchema).max(MAX_GROUP_VIEWS).readonly()})
      .readonly(),
    output: emptySchema,
    role: 'peer',
  },
  getGroupViews: {
    input: emptySchema,
    output: z.array(groupViewSchema).max(MAX_GROUP_VIEWS).readonly(),
    role: 'peer',
  },
  /** Tells a proxy that the platform's table names a newer version. */
  announceConfiguration: {
    input: versionNameSchema,
    output: emptySchema,
    role: 'operator',
  },
  submitChange: {
    input: changeRequestSchema,
    output: submitAnswerSchema,
    role: 'operator',
  },
  changePrimary: {
    input: changePrimaryRequestSchema,
    output: changePrimaryAnswerSchema,
    role: 'operator',
  },
  /** Tells which version a proxy acts on. */
  getVersion: {
    input: emptySchema,
    output: z
      .object({
        entryVm: nameSchema,
        isReady: z.boolean(),
        version: z.number().int().nonnegative(),
      })
      .readonly(),
    role: 'operator',
  },
  getStatus: {input: emptySchema, output: proxyStatusSchema, role: 'operator'},
} as const satisfies Readonly<
  Record<
    string,
    {
      readonly input: z.ZodType;
      readonly output: z.ZodType;
      readonly role: PeerRole;
    }
  >
>;

/** Names a procedure. @public */
export type PeerProcedure = keyof typeof PEER_PROCEDURES;

/** What a procedure takes. @public */
export type PeerInput<P extends PeerProcedure> = z.infer<
  (typeof PEER_PROCEDURES)[P]['input']
>;

/** What a procedure gives. @public */
export type PeerOutput<P extends PeerProcedure> = z.infer<
  (typeof PEER_PROCEDURES)[P]['output']
>;

/** Answers the procedures on one proxy. @public */
export type PeerHandler = {
  readonly [P in PeerProcedure]: (
    input: PeerInput<P>,
  ) => Promise<PeerOutput<P>>;
};
