import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {formatBriefStatus, parseBriefStatus} from './brief_status.js';
import type {InstanceStatus} from './instance_control.js';

const position = fc.record({term: fc.nat(), position: fc.nat()});
const name = fc.string({minLength: 1, maxLength: 20});
const status: fc.Arbitrary<InstanceStatus> = fc.record({
  backendServer: name,
  role: fc.constantFrom('primary', 'replica'),
  term: fc.nat(),
  claimId: fc.string({maxLength: 20}),
  position,
  primary: fc.option(name),
  primarySilentForMs: fc.option(fc.nat()),
  replicas: fc.array(
    fc.record({
      backendServer: name,
      confirmed: position,
      silentForMs: fc.nat(),
    }),
    {maxLength: 3},
  ),
});

describe('brief status', () => {
  it('round-trips every status, with any characters in the names', () => {
    fc.assert(
      fc.property(status, value => {
        expect(parseBriefStatus(formatBriefStatus(value))).toEqual(value);
      }),
      {seed: 11, numRuns: 1000},
    );
  });

  it('does not throw on arbitrary text', () => {
    fc.assert(
      fc.property(fc.string(), text => {
        const parsed = parseBriefStatus(text);
        expect(parsed === null || typeof parsed.term === 'number').toBe(true);
      }),
      {seed: 12, numRuns: 1000},
    );
  });

  it.each([
    '',
    'a x 1 - 1/2 - - -',
    'a p -1 - 1/2 - - -',
    'a p 1 - 1 - - -',
    'a p 1 - 1/2 - soon -',
    'a p 1 - 1/2 - - b=1/2',
    'a p 1 %zz 1/2 - - -',
    'a p 1 - 1/2 - - - more',
  ])('rejects the malformed text %j', text => {
    expect(parseBriefStatus(text)).toBeNull();
  });
});
