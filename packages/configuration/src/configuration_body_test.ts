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
  it('parses a body created by encodeBody', () => {
    expect(parseBody(BODY, computeObjectName(BODY))).toEqual({
      ok: true,
      value: CONFIGURATION,
    });
  });

  it('rejects a body whose hash differs from the object name', () => {
    const altered = BODY.replace('"port":5432', '"port":5433');
    expect(parseBody(altered, computeObjectName(BODY))).toMatchObject({
      error: {kind: 'hashMismatch'},
    });
  });

  it.each(['{', '{}', '{"schemaVersion":2}'])('rejects the body %s', body => {
    expect(parseBody(body, computeObjectName(body))).toMatchObject({
      error: {kind: 'malformedBody'},
    });
  });
});

describe('parsePointer', () => {
  it.each(['', 'null', '{"schemaVersion":1}', '{"schemaVersion":99}'])(
    'rejects the pointer %j',
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

  it('rebuilds the next version from the listed changes', () => {
    const rebuilt = pointer && rebuildConfiguration(CONFIGURATION, pointer);
    expect(rebuilt?.version).toBe(2);
  });

  it('returns null if the hash of the result differs from the object name', () => {
    const other = pointer && {...pointer, objectName: '0'.repeat(64)};
    expect(other && rebuildConfiguration(CONFIGURATION, other)).toBeNull();
  });

  it('returns null if an intermediate change is missing', () => {
    const older = {...CONFIGURATION, version: 0};
    expect(pointer && rebuildConfiguration(older, pointer)).toBeNull();
  });
});
