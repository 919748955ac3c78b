import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import * as z from 'zod';

/** Directory entry that a backend server publishes about itself. @public */
export interface BackendServerEntry {
  readonly backendServer: BackendServerId;
  readonly databaseGroup: DatabaseGroupName;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: AvailabilityZone;
  readonly state: 'active' | 'draining';
  /**
   * Role as the server sees it; two servers of a group may both report primary.
   */
  readonly reportedRole: 'primary' | 'replica';
  /** Number of statements that it runs concurrently. */
  readonly slots: number;
  /** Remaining warm-up time, during which the server is slow. */
  readonly warmUpRemainingMs: number;
  /** Wall-clock start time, used to detect restarts; null if unknown. */
  readonly startedAtEpochMs: number | null;
}

/**
 * Id in a handshake that any instance of the named group accepts. A response then
 * comes from whichever instance of the group has the address now.
 *
 * @public
 */
export const UNNAMED_BACKEND_SERVER: BackendServerId = '';

const MAX_PORT = 65_535;

/** Whether a connection can be opened to a port of this number. @public */
export function isPort(port: number): boolean {
  return Number.isInteger(port) && port >= 1 && port <= MAX_PORT;
}

/** Whether two entries have the same address. @public */
export function hasSameAddress(
  left: BackendServerEntry,
  right: BackendServerEntry,
): boolean {
  return left.host === right.host && left.port === right.port;
}

/** Validates a serialized {@link BackendServerEntry}. @public */
export const backendServerEntrySchema: z.ZodType<BackendServerEntry> = z.object(
  {
    backendServer: z.string().min(1),
    databaseGroup: z.string().min(1),
    host: z.string().min(1),
    port: z.number().refine(isPort),
    availabilityZone: z.string(),
    state: z.enum(['active', 'draining']),
    reportedRole: z.enum(['primary', 'replica']),
    slots: z.number().positive(),
    warmUpRemainingMs: z.number().nonnegative(),
    startedAtEpochMs: z.number().int().nonnegative().nullable(),
  },
);
