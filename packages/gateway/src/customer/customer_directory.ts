import type {ApiKeyDigest} from './api_key_digest.js';
import type {Customer} from './customer.js';

/** The customers of one version of the configuration. @public */
export class CustomerDirectory {
  private constructor(
    readonly customers: readonly Customer[],
    private readonly holders: ReadonlyMap<ApiKeyDigest, Customer>,
  ) {}

  /** If customers share a key, the first of them holds it. */
  static create(customers: readonly Customer[]): CustomerDirectory {
    const holders = new Map<ApiKeyDigest, Customer>();
    for (const customer of customers) {
      for (const digest of customer.keyDigests) {
        if (!holders.has(digest)) {
          holders.set(digest, customer);
        }
      }
    }
    return new CustomerDirectory(customers, holders);
  }

  /** Returns the customer that holds a key, or null if none does. */
  findHolder(digest: ApiKeyDigest): Customer | null {
    return this.holders.get(digest) ?? null;
  }
}
