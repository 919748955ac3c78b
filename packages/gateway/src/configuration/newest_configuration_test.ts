import {beforeEach, describe, expect, it} from 'vitest';
import type {TableChanges} from '../directory/watchable_table.js';
import {NewestConfiguration} from './newest_configuration.js';
import type {ServiceConfiguration} from './service_configuration.js';

const KEY = 'config';

function configuration(version: number): ServiceConfiguration {
  return {
    version,
    routes: new Map(),
    databaseGroups: new Map(),
    transactionIdleTimeoutMs: 3_000,
  };
}

function show(version: number): TableChanges<ServiceConfiguration> {
  const value = configuration(version);
  return {
    revision: 10,
    changes: [{kind: 'put', key: KEY, revision: 9, value}],
  };
}

describe('NewestConfiguration', () => {
  let current: ServiceConfiguration | null;
  let passedOn: (number | null)[];
  let newest: NewestConfiguration;

  beforeEach(() => {
    current = null;
    passedOn = [];
    const note = ({changes}: TableChanges<ServiceConfiguration>) => {
      for (const change of changes) {
        passedOn.push(change.kind === 'put' ? change.value.version : null);
      }
    };
    newest = NewestConfiguration.create({
      key: KEY,
      listener: {handleListing: note, handleChanges: note},
      getCurrent: () => current,
    });
  });

  it('passes on what the store holds', () => {
    current = configuration(4);
    newest.handleListing(show(4));
    newest.handleChanges(show(5));
    expect(passedOn).toEqual([4, 5]);
  });

  it('store restored: passes on the one in force instead of an older one', () => {
    current = configuration(7);
    newest.handleListing(show(4));
    newest.handleChanges(show(5));
    expect(passedOn).toEqual([7, 7]);
  });

  it('store restored: passes on the one in force where the copy has none', () => {
    current = configuration(7);
    newest.handleListing({revision: 10, changes: []});
    expect(passedOn).toEqual([7]);
  });
});
