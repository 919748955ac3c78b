import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import * as z from 'zod';

/** What a backend server reports of itself. @public */
export interface BackendServerEntry {
  readonly backendServer: BackendServerId;
  readonly databaseGroup: DatabaseGroupName;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: AvailabilityZone;
  readonly state: 'active' | 'draining';
  /** How the server sees itself; two servers of a group may both say primary. */
  readonly reportedRole: 'primary' | 'replica';
  /** Statements that it runs at once. */
  readonly slots: number;
  /** Time for which it stays slow after its start. */
  readonly warmUpRemainingMs: number;
  /** Wall-clock time of the server's start, which tells a restart; null if unknown. */
  readonly startedAtEpochMs: number | null;
}

/** Validates an entry in the project's own form. @public */
export const backendServerEntrySchema: z.ZodType<BackendServerEntry> = z.object(
  {
    backendServer: z.string().min(1),
    databaseGroup: z.string().min(1),
    host: z.string().min(1),
    port: z.number().int(),
    availabilityZone: z.string(),
    state: z.enum(['active', 'draining']),
    reportedRole: z.enum(['primary', 'replica']),
    slots: z.number(),
    warmUpRemainingMs: z.number(),
    startedAtEpochMs: z.number().nullable(),
  },
);
