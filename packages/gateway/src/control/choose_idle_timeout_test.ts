import {describe, expect, it} from 'vitest';
import {chooseIdleTimeoutMs, IDLE_TIMEOUT_MS} from './choose_idle_timeout.js';

const GROUP_ZONES = ['a', 'b', 'c'];

function choose(
  localZone: string,
  instanceZone: string,
  isPrimary = false,
): number {
  return chooseIdleTimeoutMs({
    localZone,
    instanceZone,
    isPrimary,
    groupZones: GROUP_ZONES,
  });
}

describe('chooseIdleTimeoutMs', () => {
  it('uses the default timeout for the local zone and for primaries', () => {
    expect(choose('a', 'a')).toBe(IDLE_TIMEOUT_MS);
    expect(choose('a', 'b', true)).toBe(IDLE_TIMEOUT_MS);
  });

  it('uses a shorter timeout for replicas in other zones', () => {
    expect(choose('a', 'b')).toBeLessThan(IDLE_TIMEOUT_MS);
  });

  it('uses the default timeout for all replicas if the group has no instance in the local zone', () => {
    expect(choose('d', 'b')).toBe(IDLE_TIMEOUT_MS);
  });

  it('leaves capacity at a replica for all proxies when they restart while their old connections still count', () => {
    const zoneCount = 4;
    const proxiesInZone = 7;
    const connectionLimit = 28;
    const zones = ['a', 'b', 'c', 'd'];
    // Connections that are still open one second after the last burst.
    const orphaningZones = zones.filter(zone => choose(zone, 'a') > 1_000);
    const orphanCount = orphaningZones.length * proxiesInZone;
    expect(zoneCount * proxiesInZone).toBeGreaterThanOrEqual(
      connectionLimit - 2,
    );
    expect(connectionLimit - orphanCount).toBeGreaterThanOrEqual(
      2 * proxiesInZone,
    );
  });
});
