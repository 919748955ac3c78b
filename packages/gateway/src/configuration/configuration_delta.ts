import {isDeepStrictEqual} from 'node:util';
import type {Customer} from '../customer/customer.js';
import {CustomerDirectory} from '../customer/customer_directory.js';
import type {
  DatabaseGroupSettings,
  DatabaseRoute,
  ServiceConfiguration,
} from './service_configuration.js';

/** What differs between two versions of the configuration. */

/** Changes of a map. @public */
export interface MapDelta<T> {
  readonly put: readonly (readonly [string, T])[];
  readonly removed: readonly string[];
}

/** Changes of the customers. @public */
export type CustomersDelta =
  | {readonly kind: 'unchanged'}
  /** All customers; null if the deployment has none. */
  | {
      readonly kind: 'replaced';
      readonly customers: readonly Customer[] | null;
    }
  | {
      readonly kind: 'changed';
      /** New customers and those with another key or limit. */
      readonly put: readonly Customer[];
      /** Names of all customers, in order: a key belongs to the first. */
      readonly names: readonly string[];
    };

/** Changes from one version, the base, to another, the target. @public */
export interface ConfigurationDelta {
  /** Version of the target. */
  readonly version: number;
  readonly routes: MapDelta<DatabaseRoute>;
  readonly databaseGroups: MapDelta<DatabaseGroupSettings>;
  readonly customers: CustomersDelta;
  readonly transactionIdleTimeoutMs: number;
}

/** Base of a delta that holds all of its target. @public */
export const EMPTY_CONFIGURATION: ServiceConfiguration = {
  version: 0,
  routes: new Map(),
  databaseGroups: new Map(),
  customers: null,
  transactionIdleTimeoutMs: 0,
};

/** Computes the changes from a base to a target. @public */
export function diffConfigurations(
  base: ServiceConfiguration,
  target: ServiceConfiguration,
): ConfigurationDelta {
  return {
    version: target.version,
    routes: diffMaps(base.routes, target.routes),
    databaseGroups: diffMaps(base.databaseGroups, target.databaseGroups),
    customers: diffCustomers(
      base.customers?.customers ?? null,
      target.customers?.customers ?? null,
    ),
    transactionIdleTimeoutMs: target.transactionIdleTimeoutMs,
  };
}

/**
 * Applies a delta to its base. Returns null if the base lacks a customer that the
 * delta keeps, so that it is another one.
 *
 * @public
 */
export function applyConfigurationDelta(
  base: ServiceConfiguration,
  delta: ConfigurationDelta,
): ServiceConfiguration | null {
  const {version, transactionIdleTimeoutMs} = delta;
  const customers = applyCustomers(base.customers, delta.customers);
  if (customers === undefined) {
    return null;
  }
  return {
    version,
    routes: applyMap(base.routes, delta.routes),
    databaseGroups: applyMap(base.databaseGroups, delta.databaseGroups),
    customers,
    transactionIdleTimeoutMs,
  };
}

function diffMaps<T extends object>(
  base: ReadonlyMap<string, T>,
  target: ReadonlyMap<string, T>,
): MapDelta<T> {
  const put: [string, T][] = [];
  for (const [key, value] of target) {
    const known = base.get(key);
    if (known === undefined || !isDeepStrictEqual(known, value)) {
      put.push([key, value]);
    }
  }
  const removed = [...base.keys()].filter(key => !target.has(key));
  return {put, removed};
}

function applyMap<T>(
  base: ReadonlyMap<string, T>,
  {put, removed}: MapDelta<T>,
): ReadonlyMap<string, T> {
  if (put.length === 0 && removed.length === 0) {
    return base;
  }
  const result = new Map([...base, ...put]);
  for (const key of removed) {
    result.delete(key);
  }
  return result;
}

function diffCustomers(
  base: readonly Customer[] | null,
  target: readonly Customer[] | null,
): CustomersDelta {
  if (isDeepStrictEqual(base, target)) {
    return {kind: 'unchanged'};
  }
  const names = target?.map(({name}) => name) ?? [];
  const isKeyed = new Set(names).size === names.length;
  if (base === null || target === null || !isKeyed) {
    return {kind: 'replaced', customers: target};
  }
  const known = toCustomerMap(base);
  const put = target.filter(
    customer => !isDeepStrictEqual(known.get(customer.name), customer),
  );
  return {kind: 'changed', put, names};
}

/** Returns undefined if a customer that is kept is missing in the base. */
function applyCustomers(
  base: CustomerDirectory | null,
  delta: CustomersDelta,
): CustomerDirectory | null | undefined {
  switch (delta.kind) {
    case 'unchanged':
      return base;
    case 'replaced':
      return delta.customers === null
        ? null
        : CustomerDirectory.create(delta.customers);
    case 'changed': {
      const known = toCustomerMap([...(base?.customers ?? []), ...delta.put]);
      const customers: Customer[] = [];
      for (const name of delta.names) {
        const customer = known.get(name);
        if (customer === undefined) {
          return undefined;
        }
        customers.push(customer);
      }
      return CustomerDirectory.create(customers);
    }
  }
}

/** If several customers have the same name, the last of them counts. */
function toCustomerMap(
  customers: readonly Customer[],
): ReadonlyMap<string, Customer> {
  return new Map(customers.map(customer => [customer.name, customer]));
}
