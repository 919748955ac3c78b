import type {
  DatabaseGroupName,
  EntryVmId,
} from '@filbertrun/model/identifiers.js';
import {GroupAssignment, type ProxyLocation} from './group_assignment.js';
import type {MemberRecord} from './member.js';

/**
 * The share of an instance's connection limit that one proxy may use.
 *
 * A proxy counts every other one that may still hold connections. Counting one
 * too many only makes its share smaller, so the sum of the shares stays within
 * the limit as long as each proxy counts at least the actual holders. For this
 * reason a proxy that was declared dead still counts for a while, and a new
 * proxy waits until the others must have noticed it.
 *
 * @public
 */

/** Time for which a proxy still counts after it was declared dead. */
export const RELEASE_DELAY_MS = 1500;

/** Time that a new proxy waits before it uses its share. */
export const JOIN_DELAY_MS = 1500;

/** A member with the time at which this proxy learned its state. @public */
export interface TimedMember {
  readonly record: MemberRecord;
  readonly changedAtMs: number;
}

/** The members that determine the shares of one proxy. @public */
export interface SharePopulation {
  readonly self: ProxyLocation;
  /** When the proxy joined; null while it has not. */
  readonly joinedAtMs: number | null;
  readonly others: readonly TimedMember[];
}

/** An instance whose connections are shared. @public */
export interface SharedInstance {
  readonly databaseGroup: DatabaseGroupName;
  readonly maxConnections: number;
}

/** The proxies that may hold connections now, including this one. @public */
export function getShareHolders(
  population: SharePopulation,
  nowMs: number,
): readonly ProxyLocation[] {
  const holders: ProxyLocation[] = [population.self];
  for (const {record, changedAtMs} of population.others) {
    if (mayHoldConnections(record, nowMs - changedAtMs)) {
      holders.push(record);
    }
  }
  return holders;
}

/** Whether this proxy has joined and its join delay has elapsed. @public */
export function hasJoined(population: SharePopulation, nowMs: number): boolean {
  const {joinedAtMs} = population;
  return joinedAtMs !== null && nowMs - joinedAtMs >= JOIN_DELAY_MS;
}

/** Connections that `entryVm` may open to an instance. @public */
export function computeShare(
  assignment: GroupAssignment,
  entryVm: EntryVmId,
  instance: SharedInstance,
): number {
  const {databaseGroup, maxConnections} = instance;
  const holders = assignment.getHolders(databaseGroup, maxConnections);
  const rank = holders.indexOf(entryVm);
  if (rank === -1) {
    return 0;
  }
  return Math.ceil((maxConnections - rank) / holders.length);
}

function mayHoldConnections(
  record: MemberRecord,
  timeInStateMs: number,
): boolean {
  switch (record.state) {
    case 'live':
    case 'leaving':
      return true;
    case 'dead':
      return timeInStateMs < RELEASE_DELAY_MS;
    case 'left':
      return false;
  }
}
