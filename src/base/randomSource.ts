import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";

/** Returns a uniformly distributed number in [0, 1). */
export type RandomSource = () => number;

const resolution = 0x3fff_ffff;

/**
 * Creates a random source that returns the same sequence for the same seed.
 *
 * @example
 * const random = createSeededRandomSource(42);
 */
export function createSeededRandomSource(seed: number): RandomSource {
    const generator = xoroshiro128plus(seed);
    return () => unsafeUniformIntDistribution(0, resolution - 1, generator) / resolution;
}
