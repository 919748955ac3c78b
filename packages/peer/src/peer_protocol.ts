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
 * The receiver of a request validates the input, the sender the output.
 *
 * @public
 */

const nameSchema = z.string().min(1).max(64);
const termSchema = z.number().int().nonnegative();
const objectNameSchema = z.string().regex(/^[0-9a-f]{64}$/);

/** Maximum number of database groups in one message. */
const MAX_GROUP_VIEWS = 2000;

/** Maximum time for which one request holds writes. */
const MAX_HOLD_MS = 10_000;

/** Maximum length of a configuration body, in characters. */
const MAX_BODY_LENGTH = 8_000_000;

/** Validates the identifier of a configuration version. @public */
export const versionNameSchema = z
  .object({
    version: z.number().int().nonnegative(),
    objectName: objectNameSchema,
  })
  .readonly();

/** Validates a group view. @public */
export const groupViewSchema = z
  .object({
    databaseGroup: nameSchema,
    term: termSchema,
    /** Primary of the term; null until one has been chosen. */
    primary: nameSchema.nullable(),
  })
  .readonly();

/**
 * Primary and term of a database group as known to a proxy. Unlike the view in
 * `packages/group`, it has no claim id, and the primary may be unknown.
 *
 * @public
 */
export type GroupView = z.infer<typeof groupViewSchema>;

/** Validates a heartbeat or the response to one. @public */
export const heartbeatSchema = z
  .object({
    sender: memberRecordSchema,
    /**
     * Configuration version of the sender; 0 if it has none. The platform's
     * table maps each version to exactly one object, so the number identifies
     * the configuration.
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

/** A heartbeat or the response to one. @public */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Validates a proxy's observation of a primary. @public */
export const suspicionResponseSchema = z
  .object({
    entryVm: nameSchema,
    availabilityZone: nameSchema,
    /** Whether the proxy monitors the group and so has its own observation. */
    isWatching: z.boolean(),
    /** Highest term known to the proxy. */
    term: termSchema,
    primary: nameSchema.nullable(),
    /** Time since the primary last responded to this proxy; null if never. */
    silentForMs: z.number().nonnegative().nullable(),
    /** Whether the proxy's own failure detector suspects the primary. */
    isSuspected: z.boolean(),
  })
  .readonly();

/** A proxy's observation of a primary. @public */
export type SuspicionResponse = z.infer<typeof suspicionResponseSchema>;

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

/** Validates the response to a submitted change. @public */
export const submitResponseSchema = z.discriminatedUnion('ok', [
  z.object({ok: z.literal(true), value: changeReceiptSchema}).readonly(),
  z.object({ok: z.literal(false), error: changeErrorSchema}).readonly(),
]);

/** Validates a request for a planned change of primary. @public */
export const changePrimaryRequestSchema = z
  .object({
    databaseGroup: nameSchema,
    /** The instance to promote; null to choose one automatically. */
    backendServer: nameSchema.nullable(),
    changeId: nameSchema,
  })
  .readonly();

/** A request for a planned change of primary. @public */
export type ChangePrimaryRequest = z.infer<typeof changePrimaryRequestSchema>;

/** Validates the response to a planned change of primary. @public */
export const changePrimaryResponseSchema = z.discriminatedUnion('kind', [
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

/** The response to a planned change of primary. @public */
export type ChangePrimaryResponse = z.infer<typeof changePrimaryResponseSchema>;

/** Validates the status that a proxy reports to operators. @public */
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

/** The status that a proxy reports to operators. @public */
export type ProxyStatus = z.infer<typeof proxyStatusSchema>;

const emptySchema = z.object({}).readonly();

/** Health of an instance as probed by a proxy. @public */
export type InstanceHealth = 'healthy' | 'refused' | 'silent' | 'unknown';

/** Who may call a procedure. @public */
export type PeerRole = 'peer' | 'operator';

/** The procedures with the schemas of their inputs and outputs. @public */
export const PEER_PROCEDURES = {
  heartbeat: {input: heartbeatSchema, output: heartbeatSchema, role: 'peer'},
  getMembers: {
    input: emptySchema,
    output: z.array(memberRecordSchema).max(5000).readonly(),
    role: 'peer',
  },
  /** Returns the time since the receiver last heard from a member. */
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
  /** Returns the receiver's observation of the primary of a database group. */
  askSuspicion: {
    input: z.object({databaseGroup: nameSchema, term: termSchema}).readonly(),
    output: suspicionResponseSchema,
    role: 'peer',
  },
  /** Makes the receiver probe an instance and return its health. */
  probeInstance: {
    input: z
      .object({databaseGroup: nameSchema, backendServer: nameSchema})
      .readonly(),
    output: z
      .object({health: z.enum(['healthy', 'refused', 'silent', 'unknown'])})
      .readonly(),
    role: 'peer',
  },
  /** Makes the receiver hold new writes for `holdMs`; 0 resumes them. */
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
  /** Notifies a proxy of a newer version in the platform's table. */
  announceConfiguration: {
    input: versionNameSchema,
    output: emptySchema,
    role: 'operator',
  },
  submitChange: {
    input: changeRequestSchema,
    output: submitResponseSchema,
    role: 'operator',
  },
  changePrimary: {
    input: changePrimaryRequestSchema,
    output: changePrimaryResponseSchema,
    role: 'operator',
  },
  /** Returns the configuration version that is active on the proxy. */
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

/** Name of a procedure. @public */
export type PeerProcedure = keyof typeof PEER_PROCEDURES;

/** Input of a procedure. @public */
export type PeerInput<P extends PeerProcedure> = z.infer<
  (typeof PEER_PROCEDURES)[P]['input']
>;

/** Output of a procedure. @public */
export type PeerOutput<P extends PeerProcedure> = z.infer<
  (typeof PEER_PROCEDURES)[P]['output']
>;

/** Implements the procedures on one proxy. @public */
export type PeerHandler = {
  readonly [P in PeerProcedure]: (
    input: PeerInput<P>,
  ) => Promise<PeerOutput<P>>;
};
