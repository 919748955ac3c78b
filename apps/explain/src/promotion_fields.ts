import {logPositionSchema} from '@filbertrun/model/log_position.js';
import * as z from 'zod';

/**
 * Fields of the log events of a promotion, as far as they are shown. Fields that
 * an earlier build does not log may be missing.
 */

const position = logPositionSchema.nullish();
const milliseconds = z.number().nullish();

const reportedSchema = z.object({
  role: z.string(),
  term: z.number(),
  receivedPosition: logPositionSchema,
  pausedTerm: z.number(),
  startedAtEpochMs: milliseconds,
});

const instanceSchema = z.object({
  backendServer: z.string(),
  source: z.string().nullish(),
  state: z.string().nullish(),
  startedAtEpochMs: milliseconds,
  isOldPrimary: z.boolean().nullish(),
  reported: reportedSchema.nullish(),
  fenceAgeMs: milliseconds,
  exclusion: z.string().nullish(),
});

const proxySchema = z.object({
  entryVm: z.string(),
  isReleased: z.boolean(),
  releaseAgeMs: milliseconds,
  isRegisteredProcess: z.boolean().nullish(),
  highestAcknowledged: position,
  leaseEndInMs: milliseconds,
});

/** Fields of `promotionTargetChosen`. @public */
export const choiceSchema = z.object({
  oldTerm: z.number(),
  target: z.string(),
  position: logPositionSchema,
  requiredPosition: position,
  requirementSource: z.string().nullish(),
  instances: z.array(instanceSchema),
  instanceCount: z.number(),
  hasCompleteHistory: z.boolean().nullish(),
  historyAgeMs: milliseconds,
  listingAgeMs: milliseconds,
  proxies: z.array(proxySchema),
  proxyCount: z.number(),
  recordAgeMs: milliseconds,
  changeAgeMs: milliseconds,
});

/** Fields of `promotionOrdered`. @public */
export const orderSchema = z.object({
  target: z.string(),
  position: logPositionSchema,
  fencingToken: z.number(),
  choiceAgeMs: milliseconds,
});

/** Fields of `promotionAnswered`. @public */
export const answerSchema = z.object({
  target: z.string(),
  outcome: z.string(),
  durationMs: milliseconds,
  sentAfterMs: milliseconds,
});

/** Fields of `promotionSeen`. @public */
export const effectSchema = z.object({
  target: z.string(),
  term: z.number(),
  receivedPosition: logPositionSchema,
  orderedBy: z.string(),
  sinceOrderMs: milliseconds,
  sinceChoiceMs: milliseconds,
});

/** Fields of `fenceChanged`. @public */
export const fenceSchema = z.object({
  backendServer: z.string(),
  change: z.string(),
  previous: reportedSchema,
  previousAgeMs: milliseconds,
  current: reportedSchema.nullish(),
  lastError: z.string().nullish(),
});

/** State of an instance as it was logged. @public */
export type LoggedState = z.infer<typeof reportedSchema>;

/** Fields of `leaseReleased`. @public */
export const releaseSchema = z.object({
  revision: z.number(),
  highestAcknowledged: position,
  isGroupKnown: z.boolean().nullish(),
  hadLease: z.boolean().nullish(),
  knownRevision: z.number().nullish(),
  pendingWrites: z.number().nullish(),
  processAgeMs: milliseconds,
});

/** Fields of `changeIntended`. @public */
export const intentSchema = z.object({
  primary: z.string(),
  term: z.number(),
  reason: z.string(),
  fencingToken: z.number(),
});

/** Fields of `changeCompleted`. @public */
export const completionSchema = z.object({
  primary: z.string(),
  term: z.number(),
  waitingFor: z.array(z.string()),
  durationMs: z.number(),
});

/** Fields of `writeAcknowledged`. @public */
export const writeSchema = z.object({
  requestId: z.string(),
  backendServer: z.string(),
  position: logPositionSchema,
});

/** A choice as it was logged. @public */
export type LoggedChoice = z.infer<typeof choiceSchema>;
