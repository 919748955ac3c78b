import {describe, expect, it} from 'vitest';
import {chooseIdleTimeoutMs, IDLE_TIMEOUT_MS} from './choose_idle_timeout.js';

const GROUP_ZONES = ['a', 'b', 'c'];

function choose(
  ownZone: string,
  instanceZone: string,
  isPrimary = false,
): number {
  return chooseIdleTimeoutMs({
    ownZone,
    instanceZone,
    isPrimary,
    groupZones: GROUP_ZONES,
  });
}

describe('chooseIdleTimeoutMs', () => {
  it('keeps connections to the own zone and to primaries', () => {
    expect(choose('a', 'a')).toBe(IDLE_TIMEOUT_MS);
    expect(choose('a', 'b', true)).toBe(IDLE_TIMEOUT_MS);
  });

  it('keeps those to replicas of other zones for a short while only', () => {
    expect(choose('a', 'b')).toBeLessThan(IDLE_TIMEOUT_MS);
  });

  it('keeps those to any replica where the own zone has no instance', () => {
    expect(choose('d', 'b')).toBe(IDLE_TIMEOUT_MS);
  });

  it('leaves room for every proxy at a replica when all come back beside their old connections', () => {
    const zoneCount = 4;
    const proxiesInZone = 7;
    const admitted = 28;
    const ownZones = ['a', 'b', 'c', 'd'];
    // What is still open once the last burst is a second old.
    const orphaned = ownZones.filter(zone => choose(zone, 'a') > 1_000);
    const orphanCount = orphaned.length * proxiesInZone;
    expect(zoneCount * proxiesInZone).toBeGreaterThanOrEqual(admitted - 2);
    expect(admitted - orphanCount).toBeGreaterThanOrEqual(2 * proxiesInZone);
  });
});
