import type {AvailabilityZone} from '@filbertrun/model/identifiers.js';

/** Name of a region, a set of availability zones that are near each other. @public */
export type Region = string;

/** The regions of the availability zones, from the settings. @public */
export class ZoneRegions {
  private constructor(
    private readonly regions: ReadonlyMap<AvailabilityZone, Region>,
  ) {}

  static create(regions: ReadonlyMap<AvailabilityZone, Region>): ZoneRegions {
    return new ZoneRegions(regions);
  }

  /** Whether two zones are in different regions; false if one is not known. */
  areApart(left: AvailabilityZone, right: AvailabilityZone): boolean {
    const leftRegion = this.regions.get(left);
    const rightRegion = this.regions.get(right);
    return (
      leftRegion !== undefined &&
      rightRegion !== undefined &&
      leftRegion !== rightRegion
    );
  }

  /** Counts the zones that are in another region than `zone`. */
  countApart(
    zone: AvailabilityZone,
    others: Iterable<AvailabilityZone>,
  ): number {
    let count = 0;
    for (const other of others) {
      count += this.areApart(zone, other) ? 1 : 0;
    }
    return count;
  }
}
