import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';

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
