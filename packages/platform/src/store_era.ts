import {getEra} from './store_revision.js';

/** Keeps the newest era of the store that its answers have stated. @public */
export class StoreEra {
  private era = 0;

  private constructor() {}

  static create(): StoreEra {
    return new StoreEra();
  }

  note(era: number): void {
    this.era = Math.max(this.era, era);
  }

  /**
   * Whether a revision was read before the store came back from a copy. The
   * number in it may since have been given to another change, so a write must
   * not expect it; 0 stands for no row and belongs to no era.
   */
  isOutdated(revision: number): boolean {
    return revision > 0 && getEra(revision) < this.era;
  }
}
