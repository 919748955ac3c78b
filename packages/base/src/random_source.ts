import {randomInt} from 'node:crypto';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/**
 * A source of random numbers. Decision code takes one as an argument, so a run
 * can be reproduced from its seed.
 *
 * @public
 */
export interface RandomSource {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  nextFloat(): number;
  /** Returns an integer from `minimum` to `maximum`, both inclusive. */
  nextInteger(minimum: number, maximum: number): number;
}

/**
 * A pseudorandom number generator (xoroshiro128+) with a fixed seed.
 *
 * @public
 */
export class SeededRandom implements RandomSource {
  private constructor(private readonly generator: RandomGenerator) {}

  static create(seed: number): SeededRandom {
    return new SeededRandom(xoroshiro128plus(seed));
  }

  nextFloat(): number {
    return uniformFloat64(this.generator);
  }

  nextInteger(minimum: number, maximum: number): number {
    return uniformInt(this.generator, minimum, maximum);
  }
}

/**
 * Creates a random source with a seed from the operating system.
 *
 * @public
 */
export function createSystemRandom(): RandomSource {
  return SeededRandom.create(randomInt(2 ** 31));
}
