import {beforeEach, describe, expect, it} from 'vitest';
import {createConfiguration} from '../testing/create_configuration.js';
import {createDatabaseRoute} from '../testing/create_database_route.js';
import {ConfigurationHistory} from './configuration_history.js';

describe('ConfigurationHistory', () => {
  let reader: ConfigurationHistory;
  let follower: ConfigurationHistory;

  beforeEach(() => {
    reader = ConfigurationHistory.create();
    follower = ConfigurationHistory.create();
  });

  /** Sends the latest version of the reader to the follower. */
  function send() {
    const delta = reader.getDeltaSince(follower.latest);
    return delta === null ? null : follower.apply(delta);
  }

  it('has nothing to send before the first version', () => {
    expect(send()).toBeNull();
  });

  it('sends the whole configuration to a process that has none', () => {
    reader.record(5, createConfiguration(1, 'a'));
    expect(reader.getDeltaSince(null)?.base).toBeNull();
    expect(send()).toEqual(createConfiguration(1, 'a'));
  });

  it('sends what has changed since the version that the other one knows', () => {
    for (const history of [reader, follower]) {
      history.record(5, createConfiguration(1, 'a', 'b'));
    }
    reader.record(7, createConfiguration(2, 'a', 'b', 'c'));
    reader.record(9, createConfiguration(3, 'b', 'c'));
    const delta = reader.getDeltaSince(follower.latest);
    expect(delta?.delta.routes).toEqual({
      put: [['c', createDatabaseRoute('c')]],
      removed: ['a'],
    });
    expect(send()).toEqual(createConfiguration(3, 'b', 'c'));
  });

  it('sends all to a process whose version is not remembered', () => {
    follower.record(1, createConfiguration(1, 'old'));
    for (let revision = 2; revision <= 20; revision++) {
      reader.record(revision, createConfiguration(revision, `a${revision}`));
    }
    expect(send()).toEqual(createConfiguration(20, 'a20'));
  });

  // After a restore of the store, two versions may have the same number.
  it('takes a version with the same number and another revision for another one', () => {
    follower.record(5, createConfiguration(2, 'kept'));
    reader.record(4, createConfiguration(1, 'a'));
    reader.record(6, createConfiguration(2, 'other'));
    reader.record(8, createConfiguration(3, 'other', 'b'));
    expect(reader.getDeltaSince(follower.latest)?.base).toBeNull();
    expect(send()).toEqual(createConfiguration(3, 'other', 'b'));
  });

  it('does not apply a delta to a version that it does not remember', () => {
    reader.record(5, createConfiguration(1, 'a'));
    reader.record(6, createConfiguration(2, 'a', 'b'));
    const delta = reader.getDeltaSince({revision: 5, version: 1});
    expect(delta === null ? null : follower.apply(delta)).toBeNull();
  });

  it('computes a delta once for several followers', () => {
    reader.record(5, createConfiguration(1, 'a'));
    reader.record(6, createConfiguration(2, 'a', 'b'));
    const base = {revision: 5, version: 1};
    expect(reader.getDeltaSince(base)).toBe(reader.getDeltaSince({...base}));
  });

  it('ignores a version that is not newer', () => {
    reader.record(5, createConfiguration(2, 'a'));
    reader.record(5, createConfiguration(1, 'b'));
    expect(reader.latest).toEqual({revision: 5, version: 2});
  });
});
