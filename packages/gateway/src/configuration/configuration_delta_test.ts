import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {digestApiKey} from '../customer/api_key_digest.js';
import type {Customer} from '../customer/customer.js';
import {CustomerDirectory} from '../customer/customer_directory.js';
import {createDatabaseRoute} from '../testing/create_database_route.js';
import {
  encodeIdentifiedDelta,
  identifiedDeltaSchema,
} from './configuration_codec.js';
import {
  applyConfigurationDelta,
  diffConfigurations,
  EMPTY_CONFIGURATION,
} from './configuration_delta.js';
import type {ServiceConfiguration} from './service_configuration.js';

const name = fc.constantFrom('a', 'b', 'c', 'd', 'e');

const routes = fc
  .array(fc.tuple(name, fc.constantFrom('one', 'two'), fc.nat(2)))
  .map(
    entries =>
      new Map(
        entries.map(([key, databaseGroup, priority]) => [
          key,
          createDatabaseRoute(key, {
            databaseGroup,
            statementTimeoutMs: 1_000 + priority,
          }),
        ]),
      ),
  );

const databaseGroups = fc
  .array(fc.tuple(name, fc.integer({min: 1, max: 3})))
  .map(
    entries =>
      new Map(
        entries.map(([key, maxConnections]) => [
          key,
          {databaseGroup: key, maxConnections, synchronousReplicaCount: 1},
        ]),
      ),
  );

const customer: fc.Arbitrary<Customer> = fc
  .tuple(name, fc.array(name, {maxLength: 2}), fc.nat(1))
  .map(([customerName, keys, rate]) => ({
    name: customerName,
    keyDigests: keys.map(digestApiKey),
    limit:
      rate === 0 ? null : {operationsPerSecond: rate, burstOperations: rate},
  }));

/** Customers, at times with equal names or keys, or none at all. */
const customers = fc.option(
  fc.array(customer, {maxLength: 5}).map(CustomerDirectory.create),
);

const configuration: fc.Arbitrary<ServiceConfiguration> = fc.record({
  version: fc.nat(),
  routes,
  databaseGroups,
  customers,
  transactionIdleTimeoutMs: fc.nat(),
});

describe('a configuration delta', () => {
  it('leads from its base to its target, also after it was sent', () => {
    fc.assert(
      fc.property(configuration, configuration, (base, target) => {
        const delta = diffConfigurations(base, target);
        const identified = {base: null, revision: 1, delta};
        const sent = JSON.stringify(encodeIdentifiedDelta(identified));
        const received = identifiedDeltaSchema.parse(JSON.parse(sent));
        expect(applyConfigurationDelta(base, received.delta)).toEqual(target);
      }),
    );
  });

  it('holds all of its target if its base is empty', () => {
    fc.assert(
      fc.property(configuration, target => {
        const delta = diffConfigurations(EMPTY_CONFIGURATION, target);
        expect(applyConfigurationDelta(EMPTY_CONFIGURATION, delta)).toEqual(
          target,
        );
      }),
    );
  });

  it('is refused by a base that lacks a customer that it keeps', () => {
    const createCustomer = (customerName: string): Customer => ({
      name: customerName,
      keyDigests: [digestApiKey(customerName)],
      limit: null,
    });
    const first = createCustomer('a');
    const second = createCustomer('b');
    const withCustomers = (list: readonly Customer[]) => ({
      ...EMPTY_CONFIGURATION,
      customers: CustomerDirectory.create(list),
    });
    const delta = diffConfigurations(
      withCustomers([first]),
      withCustomers([first, second]),
    );
    expect(applyConfigurationDelta(withCustomers([second]), delta)).toBeNull();
  });

  // Each change of one route was sent with all other routes, to each follower.
  it('costs about the size of what has changed', () => {
    const routeCount = 4_200;
    const entries = Array.from({length: routeCount}, (_, index) => {
      const key = `database-${(index * 2_654_435_761) % 1_000_003}`;
      return [key, createDatabaseRoute(key)] as const;
    });
    const base = {...EMPTY_CONFIGURATION, routes: new Map(entries)};
    const key = entries[17]?.[0] ?? '';
    const target = {
      ...base,
      routes: new Map([
        ...entries,
        [key, createDatabaseRoute(key, {statementTimeoutMs: 7})],
      ]),
    };
    const measure = (from: ServiceConfiguration) => {
      const delta = diffConfigurations(from, target);
      return encodeIdentifiedDelta({base: null, revision: 1, delta}).delta
        .length;
    };
    expect(measure(base)).toBeLessThan(600);
    // All routes, compressed, take less than an eighth of their JSON text.
    const {length} = JSON.stringify(entries);
    expect(measure(EMPTY_CONFIGURATION)).toBeLessThan(length / 8);
  });
});
