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
  it('reads back the defaults', () => {
    const parsed = parseObjectives(JSON.stringify(DEFAULT_OBJECTIVES));
    expect(parsed).toEqual({ok: true, value: DEFAULT_OBJECTIVES});
  });

  it('falls back to the objectives of any application', () => {
    expect(getApplicationObjectives(DEFAULT_OBJECTIVES, 'unlisted')).toBe(
      DEFAULT_OBJECTIVES.applications['*'],
    );
  });

  it('refuses a share of 1, which leaves no budget', () => {
    expect(parseWith({availabilityShare: 1}).ok).toBe(false);
  });

  it('refuses a latency share without its bound', () => {
    expect(parseWith({latencyShare: 0.99})).toMatchObject({
      ok: false,
      error: expect.stringContaining('latencyShare and latencyBoundMs'),
    });
  });

  it('refuses a latency bound that the proxies do not count', () => {
    expect(parseWith({latencyShare: 0.99, latencyBoundMs: 33}).ok).toBe(false);
  });

  it('names the place of an unknown field', () => {
    const result = parseWith({availability: 0.9});
    expect(result).toMatchObject({
      ok: false,
      error: expect.stringContaining('applications.timetable'),
    });
  });

  it('refuses what is not JSON', () => {
    expect(parseObjectives('{')).toEqual({ok: false, error: 'not JSON'});
  });
});
