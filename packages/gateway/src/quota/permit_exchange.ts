import * as z from 'zod';
import type {PermitGrant, PermitReport} from './token_bucket.js';

/** Messages between a proxy and a quota owner. */

const countSchema = z.number().int().nonnegative();

/** Validates an exchange with a quota owner. @public */
export const permitExchangeSchema = z.object({
  /** Incarnation of the proxy that holds or asks for the permits. */
  holder: z.string().min(1),
  partition: z.string().min(1),
  reports: z
    .array(
      z.object({
        customer: z.string().min(1),
        heldCount: countSchema,
        returnedCount: countSchema,
        neededCount: countSchema,
        wantedCount: countSchema,
      }),
    )
    .readonly(),
});

/** Validates the answer of a quota owner. @public */
export const permitGrantsSchema = z.object({
  grants: z
    .array(
      z.object({
        customer: z.string(),
        confirmedCount: countSchema,
        grantedCount: countSchema,
        reservedCount: countSchema,
        retryAfterMs: z.number().nonnegative(),
      }),
    )
    .readonly(),
});

/** A report on one customer's permits. @public */
export interface CustomerReport extends PermitReport {
  readonly customer: string;
}

/** What is granted for one customer. @public */
export interface CustomerGrant extends PermitGrant {
  readonly customer: string;
}

/** Reports to the owner of a partition. @public */
export interface PermitExchange {
  readonly holder: string;
  readonly partition: string;
  readonly reports: readonly CustomerReport[];
}

/** Answer of the owner; customers that it does not know are left out. @public */
export interface PermitGrants {
  readonly grants: readonly CustomerGrant[];
}
