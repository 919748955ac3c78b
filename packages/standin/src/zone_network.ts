import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';

/**
 * Simulated network between availability zones, with latency and one-way
 * partitions, called cuts. The platform counts as a zone of its own.
 */

/** Name of the platform's zone in cuts. @public */
export const PLATFORM_ZONE = 'platform';

/**
 * Loopback addresses whose third byte is the number of an availability zone:
 * `127.0.2.1` belongs to the second zone.
 */
const ZONE_ADDRESS_PATTERN = /^(?:::ffff:)?127\.0\.(\d{1,3})\.\d{1,3}$/;

/** Options of a network. @public */
export interface ZoneNetworkOptions {
  readonly availabilityZones: readonly AvailabilityZone[];
  /** One-way latency between two zones. */
  readonly zoneLatencyMs: number;
}

/** Latency and cuts between availability zones. @public */
export class ZoneNetwork {
  private readonly cuts = new Map<AvailabilityZone, Set<AvailabilityZone>>();
  private readonly listeners = new Set<() => void>();

  private constructor(
    private readonly availabilityZones: readonly AvailabilityZone[],
    private zoneLatencyMs: number,
  ) {}

  static create(options: ZoneNetworkOptions): ZoneNetwork {
    return new ZoneNetwork(options.availabilityZones, options.zoneLatencyMs);
  }

  getAvailabilityZones(): readonly AvailabilityZone[] {
    return this.availabilityZones;
  }

  /** Zone of an address; null for addresses of callers and tools. */
  findZoneOfAddress(address: string | undefined): AvailabilityZone | null {
    const match = ZONE_ADDRESS_PATTERN.exec(address ?? '');
    return this.availabilityZones[Number(match?.[1] ?? 0) - 1] ?? null;
  }

  /** Whether traffic from one zone to the other is cut. */
  isCut(from: AvailabilityZone | null, to: AvailabilityZone | null): boolean {
    if (from === null || to === null) {
      return false;
    }
    return this.cuts.get(from)?.has(to) ?? false;
  }

  setCut(from: AvailabilityZone, to: AvailabilityZone, isCut: boolean): void {
    const targets = this.cuts.get(from) ?? new Set();
    if (isCut) {
      targets.add(to);
    } else {
      targets.delete(to);
    }
    this.cuts.set(from, targets);
    this.notify();
  }

  /** Removes all cuts. */
  healAll(): void {
    this.cuts.clear();
    this.notify();
  }

  /** The cuts as pairs of source and target zone. */
  listCuts(): readonly (readonly [AvailabilityZone, AvailabilityZone])[] {
    const pairs: [AvailabilityZone, AvailabilityZone][] = [];
    for (const [from, targets] of this.cuts) {
      for (const to of targets) {
        pairs.push([from, to]);
      }
    }
    return pairs;
  }

  setZoneLatencyMs(latencyMs: number): void {
    this.zoneLatencyMs = latencyMs;
  }

  /** Round-trip time between two zones; 0 if either is null. */
  getRoundTripMs(
    left: AvailabilityZone | null,
    right: AvailabilityZone | null,
  ): number {
    const isSame = left === null || right === null || left === right;
    return isSame ? 0 : 2 * this.zoneLatencyMs;
  }

  /**
   * Calls `listener` after each change of the cuts; returns a function that
   * unsubscribes it.
   */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => {
      this.listeners.delete(listener);
    };
  }

  private notify(): void {
    for (const listener of this.listeners) {
      listener();
    }
  }
}
