import {describe, expect, it} from 'vitest';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {CustomerDirectory} from './customer_directory.js';
import {
  CustomerHistory,
  type ContextMutation,
  type CustomerViolation,
} from './customer_history.js';

const HISTORIES = 60;

interface Mutant {
  readonly name: string;
  readonly rules: readonly CustomerViolation['rule'][];
  readonly mutate: ContextMutation;
}

/** Changes the customers that sessions see. */
function withCustomers(
  change: (customers: CustomerDirectory) => CustomerDirectory,
): ContextMutation {
  return context => ({
    ...context,
    getConfiguration: () => {
      const configuration = context.getConfiguration();
      return configuration === null || configuration.customers === null
        ? configuration
        : {...configuration, customers: change(configuration.customers)};
    },
  });
}

/** A directory that answers with `find` instead of the newest keys. */
function replaceFind(
  customers: CustomerDirectory,
  find: CustomerDirectory['findHolder'],
): CustomerDirectory {
  return Object.assign(Object.create(customers) as CustomerDirectory, {
    findHolder: find,
  });
}

const MUTANTS: readonly Mutant[] = [
  {
    name: 'a withdrawn key still counts',
    rules: ['runWithoutKey'],
    mutate: (context, harness) => {
      const known = new Map<
        string,
        ReturnType<CustomerDirectory['findHolder']>
      >();
      return withCustomers(customers =>
        replaceFind(customers, digest => {
          const holder = customers.findHolder(digest);
          if (holder !== null) {
            known.set(digest, holder);
          }
          return holder ?? known.get(digest) ?? null;
        }),
      )(context, harness);
    },
  },
  {
    name: 'a moved key keeps its first customer',
    rules: ['runForOtherCustomer'],
    mutate: (context, harness) => {
      const first = new Map<
        string,
        ReturnType<CustomerDirectory['findHolder']>
      >();
      return withCustomers(customers =>
        replaceFind(customers, digest => {
          const holder = customers.findHolder(digest);
          if (holder !== null && !first.has(digest)) {
            first.set(digest, holder);
          }
          return holder === null ? null : (first.get(digest) ?? null);
        }),
      )(context, harness);
    },
  },
  {
    name: 'customers share connections',
    rules: ['runForOtherCustomer'],
    mutate: withCustomers(customers =>
      replaceFind(customers, digest => {
        const holder = customers.findHolder(digest);
        return holder === null ? null : {...holder, name: 'shared'};
      }),
    ),
  },
  {
    name: 'a configuration without customers admits everybody',
    rules: ['runWithoutKey', 'runForOtherCustomer'],
    mutate: context => ({
      ...context,
      getConfiguration: (): ServiceConfiguration | null => {
        const configuration = context.getConfiguration();
        return configuration === null
          ? null
          : {...configuration, customers: null};
      },
    }),
  },
  {
    name: 'no key is found',
    rules: ['deniedWithKey'],
    mutate: withCustomers(customers => replaceFind(customers, () => null)),
  },
];

async function runHistories(
  mutate?: ContextMutation,
): Promise<readonly CustomerViolation[]> {
  const violations: CustomerViolation[] = [];
  for (let seed = 0; seed < HISTORIES; seed++) {
    violations.push(...(await CustomerHistory.run(seed, mutate)));
  }
  return violations;
}

describe('histories of keys that change', () => {
  it('break no rule', async () => {
    expect(await runHistories()).toEqual([]);
  }, 60_000);

  it.each(MUTANTS)(
    'detect the mutant: $name',
    async ({mutate, rules}) => {
      const broken = new Set(
        (await runHistories(mutate)).map(({rule}) => rule),
      );
      for (const rule of rules) {
        expect(broken).toContain(rule);
      }
    },
    60_000,
  );
});
