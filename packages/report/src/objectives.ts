import {failure, success, type Result} from '@filbertrun/base/result.js';
import {LATENCY_BOUNDS_MS} from '@filbertrun/observability/service_level_snapshot.js';
import {z} from 'zod';

/**
 * Service-level objectives, set per application in the settings. A share is the
 * fraction of events that must be good over the period of the objective.
 */

/** Key of the objectives for applications without their own. @public */
export const DEFAULT_APPLICATION = '*';

const shareSchema = z.number().gt(0).lt(1);

const latencyBoundSchema = z
  .number()
  .refine(
    boundMs => (LATENCY_BOUNDS_MS as readonly number[]).includes(boundMs),
    {message: `a latency bound is one of ${LATENCY_BOUNDS_MS.join(', ')} ms`},
  );

/** Schema of the objectives of one application. @public */
export const applicationObjectivesSchema = z
  .strictObject({
    /** Share of statements that the proxy answers. */
    availabilityShare: shareSchema.optional(),
    /** Share of statements answered within `latencyBoundMs`. */
    latencyShare: shareSchema.optional(),
    latencyBoundMs: latencyBoundSchema.optional(),
    /** Share of reads that replicas answer. */
    replicaReadShare: shareSchema.optional(),
  })
  .refine(
    each =>
      (each.latencyShare === undefined) === (each.latencyBoundMs === undefined),
    {message: 'latencyShare and latencyBoundMs go together'},
  )
  .readonly();

/** The objectives of one application. @public */
export type ApplicationObjectives = z.infer<typeof applicationObjectivesSchema>;

/** Schema of all objectives. @public */
export const objectivesSchema = z
  .strictObject({
    applications: z.record(
      z.string().min(1).max(64),
      applicationObjectivesSchema,
    ),
    /** Write gaps longer than this miss the objective. */
    failoverGapMs: z.number().positive(),
    /** Share of write gaps that must stay within `failoverGapMs`. */
    failoverGapShare: shareSchema,
  })
  .readonly();

/** Objectives of all applications and of failovers. @public */
export type Objectives = z.infer<typeof objectivesSchema>;

/** Objectives used when the settings give none. @public */
export const DEFAULT_OBJECTIVES: Objectives = {
  applications: {
    [DEFAULT_APPLICATION]: {
      availabilityShare: 0.999,
      latencyShare: 0.99,
      latencyBoundMs: 50,
    },
  },
  failoverGapMs: 7000,
  failoverGapShare: 0.99,
};

/** Parses objectives from JSON; the error names the field. @public */
export function parseObjectives(text: string): Result<Objectives, string> {
  let data: unknown;
  try {
    data = JSON.parse(text);
  } catch {
    return failure('not JSON');
  }
  const parsed = objectivesSchema.safeParse(data);
  if (parsed.success) {
    return success(parsed.data);
  }
  const issue = parsed.error.issues[0];
  const fieldPath = issue?.path.join('.') ?? '';
  return failure(`${fieldPath}: ${issue?.message ?? 'invalid'}`);
}

/** Returns the objectives of an application, or else those of `*`. @public */
export function getApplicationObjectives(
  objectives: Objectives,
  application: string,
): ApplicationObjectives {
  return (
    objectives.applications[application] ??
    objectives.applications[DEFAULT_APPLICATION] ??
    {}
  );
}
