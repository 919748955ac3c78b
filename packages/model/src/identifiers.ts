/**
 * Identifiers in a deployment. They are plain strings at run time; the aliases
 * document which kind of identifier a field holds.
 */

/** Names an availability zone, for example `mrk-a`. @public */
export type AvailabilityZone = string;

/** Names an entry VM, for example `entry-1`. @public */
export type EntryVmId = string;

/** Names a database group, for example `sched-db-1`. @public */
export type DatabaseGroupName = string;

/** Names one instance of a database group, for example `sched-db-1-a`. @public */
export type BackendServerId = string;
