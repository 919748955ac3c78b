import {describe, expect, it} from 'vitest';
import {
  computeObjectName,
  encodeBody,
  parseBody,
} from './configuration_body.js';
import {createConfiguration, createDrain} from './configuration_fixtures.js';
import {parsePointer} from './configuration_pointer.js';
import {planChange} from './plan_change.js';
import {rebuildConfiguration} from './rebuild_configuration.js';

const CONFIGURATION = createConfiguration('outings-db-1');
const BODY = encodeBody(CONFIGURATION);

describe('parseBody', () => {
  it('reads what was written', () => {
    expect(parseBody(BODY, computeObjectName(BODY))).toEqual({
      ok: true,
      value: CONFIGURATION,
    });
  });

  it('refuses a body that is not the one named', () => {
    const altered = BODY.replace('"port":5432', '"port":5433');
    expect(parseBody(altered, computeObjectName(BODY))).toMatchObject({
      error: {kind: 'hashMismatch'},
    });
  });

  it.each(['{', '{}', '{"schemaVersion":2}'])('refuses the body %s', body => {
    expect(parseBody(body, computeObjectName(body))).toMatchObject({
      error: {kind: 'malformedBody'},
    });
  });
});

describe('parsePointer', () => {
  it.each(['', 'null', '{"schemaVersion":1}', '{"schemaVersion":99}'])(
    'refuses the pointer %j',
    text => {
      expect(parsePointer(text)).toMatchObject({
        error: {kind: 'malformedPointer'},
      });
    },
  );
});

describe('rebuildConfiguration', () => {
  const plan = planChange(
    {pointer: null, configuration: CONFIGURATION},
    {changeId: '1', baseVersion: null, change: createDrain('outings-db-1-a')},
  );
  const pointer =
    plan.ok && plan.value.kind === 'write' ? plan.value.pointer : null;

  it('makes the next version from the listed changes', () => {
    const rebuilt = pointer && rebuildConfiguration(CONFIGURATION, pointer);
    expect(rebuilt?.version).toBe(2);
  });

  it('makes nothing when the result is not the object named', () => {
    const other = pointer && {...pointer, objectName: '0'.repeat(64)};
    expect(other && rebuildConfiguration(CONFIGURATION, other)).toBeNull();
  });

  it('makes nothing when a change between is not known', () => {
    const older = {...CONFIGURATION, version: 0};
    expect(pointer && rebuildConfiguration(older, pointer)).toBeNull();
  });
});
