import {getEra} from './store_revision.js';

/** Tracks the latest era that the store has reported. @public */
export class LatestStoreEra {
  private era = 0;

  private constructor() {}

  static create(): LatestStoreEra {
    return new LatestStoreEra();
  }

  record(era: number): void {
    this.era = Math.max(this.era, era);
  }

  /**
   * Whether a revision was read before the store was restored from a backup.
   * The restored store may have reused its change number, so a write must not
   * use it as a condition. 0 means that there is no row and is in no era.
   */
  isOutdated(revision: number): boolean {
    return revision > 0 && getEra(revision) < this.era;
  }
}
