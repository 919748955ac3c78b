import {computeHash} from '@filbertrun/membership/rendezvous.js';

/**
 * Number of partitions of the customers. In each availability zone the quotas of
 * a partition have one owner, so a proxy exchanges permits with at most this many
 * others.
 */
const PARTITION_COUNT = 2;

/** Returns the partition of a customer. @public */
export function getQuotaPartition(customer: string): string {
  return `quota/${computeHash(customer) % PARTITION_COUNT}`;
}

/** Returns all partitions. @public */
export function listPartitions(): readonly string[] {
  return Array.from({length: PARTITION_COUNT}, (_, index) => `quota/${index}`);
}
