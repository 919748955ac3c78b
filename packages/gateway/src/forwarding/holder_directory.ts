import type {
  AvailabilityZone,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {EntryVmRecord} from '../control/control_record.js';
import {rankHolders} from './rank_holders.js';

/** Weight of a proxy that does not announce its cores. */
const DEFAULT_PROCESSOR_CORES = 1;

/** A proxy of this availability zone that accepts forwarded operations. @public */
export interface Holder {
  readonly entryVm: string;
  /** Distinguishes a restarted process from the previous one. */
  readonly incarnation: string;
  readonly host: string;
  readonly forwardPort: number;
  readonly processorCores: number;
}

/**
 * The possible holders of this availability zone, from the registrations of the
 * entry VMs.
 *
 * @public
 */
export class HolderDirectory {
  private holders: readonly Holder[] = [];
  private readonly ranked = new Map<DatabaseGroupName, readonly Holder[]>();

  private constructor(private readonly availabilityZone: AvailabilityZone) {}

  static create(availabilityZone: AvailabilityZone): HolderDirectory {
    return new HolderDirectory(availabilityZone);
  }

  /** Applies the registrations; returns true if the holders have changed. */
  update(entryVms: readonly EntryVmRecord[]): boolean {
    const holders: Holder[] = [];
    for (const record of entryVms) {
      const holder = toHolder(record);
      if (
        holder !== null &&
        record.availabilityZone === this.availabilityZone
      ) {
        holders.push(holder);
      }
    }
    if (areEqual(holders, this.holders)) {
      return false;
    }
    this.holders = holders;
    this.ranked.clear();
    return true;
  }

  getAll(): readonly Holder[] {
    return this.holders;
  }

  /** Returns the holders of a group in the order in which they are asked. */
  rank(databaseGroup: DatabaseGroupName): readonly Holder[] {
    let ranked = this.ranked.get(databaseGroup);
    if (ranked === undefined) {
      ranked = rankHolders(databaseGroup, this.holders);
      this.ranked.set(databaseGroup, ranked);
    }
    return ranked;
  }
}

/** Returns the holder that a registration announces, or null for none. */
function toHolder(record: EntryVmRecord): Holder | null {
  const {entryVm, incarnation, peerHost, forwardPort, processorCores} = record;
  return forwardPort === undefined
    ? null
    : {
        entryVm,
        incarnation,
        host: peerHost,
        forwardPort,
        processorCores: processorCores ?? DEFAULT_PROCESSOR_CORES,
      };
}

function areEqual(left: readonly Holder[], right: readonly Holder[]): boolean {
  if (left.length !== right.length) {
    return false;
  }
  for (const [index, holder] of left.entries()) {
    const other = right[index];
    if (
      other?.entryVm !== holder.entryVm ||
      other.incarnation !== holder.incarnation ||
      other.forwardPort !== holder.forwardPort ||
      other.processorCores !== holder.processorCores
    ) {
      return false;
    }
  }
  return true;
}
