import {beforeEach, describe, expect, it} from 'vitest';
import type {TableChanges} from '../directory/watchable_table.js';
import {NewestConfigurationFilter} from './newest_configuration_filter.js';
import type {ServiceConfiguration} from './service_configuration.js';

const KEY = 'config';

function configuration(version: number): ServiceConfiguration {
  return {
    version,
    routes: new Map(),
    databaseGroups: new Map(),
    customers: null,
    transactionIdleTimeoutMs: 3_000,
  };
}

function createChanges(version: number): TableChanges<ServiceConfiguration> {
  const value = configuration(version);
  return {
    revision: 10,
    changes: [{kind: 'put', key: KEY, revision: 9, value}],
  };
}

describe('NewestConfigurationFilter', () => {
  let current: ServiceConfiguration | null;
  let forwarded: (number | null)[];
  let newest: NewestConfigurationFilter;

  beforeEach(() => {
    current = null;
    forwarded = [];
    const recordVersions = ({changes}: TableChanges<ServiceConfiguration>) => {
      for (const change of changes) {
        forwarded.push(change.kind === 'put' ? change.value.version : null);
      }
    };
    newest = NewestConfigurationFilter.create({
      key: KEY,
      listener: {handleListing: recordVersions, handleChanges: recordVersions},
      getCurrent: () => current,
    });
  });

  it('forwards the stored configuration when it is current or newer', () => {
    current = configuration(4);
    newest.handleListing(createChanges(4));
    newest.handleChanges(createChanges(5));
    expect(forwarded).toEqual([4, 5]);
  });

  it('store restored: forwards the configuration in force instead of an older one', () => {
    current = configuration(7);
    newest.handleListing(createChanges(4));
    newest.handleChanges(createChanges(5));
    expect(forwarded).toEqual([7, 7]);
  });

  it('store restored: forwards the configuration in force when the backup has none', () => {
    current = configuration(7);
    newest.handleListing({revision: 10, changes: []});
    expect(forwarded).toEqual([7]);
  });
});
