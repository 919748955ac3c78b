import {describe, expect, it} from 'vitest';
import {
  DEFAULT_OBJECTIVES,
  getApplicationObjectives,
  parseObjectives,
} from './objectives.js';

function parseWith(application: object) {
  return parseObjectives(
    JSON.stringify({
      applications: {timetable: application},
      failoverGapMs: 1000,
      failoverGapShare: 0.99,
    }),
  );
}

describe('objectives', () => {
  it('parse the serialized defaults', () => {
    const parsed = parseObjectives(JSON.stringify(DEFAULT_OBJECTIVES));
    expect(parsed).toEqual({ok: true, value: DEFAULT_OBJECTIVES});
  });

  it('fall back to those of "*" for an application that is not listed', () => {
    expect(getApplicationObjectives(DEFAULT_OBJECTIVES, 'unlisted')).toBe(
      DEFAULT_OBJECTIVES.applications['*'],
    );
  });

  it('reject a share of 1, which leaves no error budget', () => {
    expect(parseWith({availabilityShare: 1}).ok).toBe(false);
  });

  it('reject a latency share without a bound', () => {
    expect(parseWith({latencyShare: 0.99})).toMatchObject({
      ok: false,
      error: expect.stringContaining('latencyShare and latencyBoundMs'),
    });
  });

  it('reject a latency bound that is not one of LATENCY_BOUNDS_MS', () => {
    expect(parseWith({latencyShare: 0.99, latencyBoundMs: 33}).ok).toBe(false);
  });

  it('name the path of an object with an unknown field', () => {
    const result = parseWith({availability: 0.9});
    expect(result).toMatchObject({
      ok: false,
      error: expect.stringContaining('applications.timetable'),
    });
  });

  it('reject text that is not JSON', () => {
    expect(parseObjectives('{')).toEqual({ok: false, error: 'not JSON'});
  });
});
