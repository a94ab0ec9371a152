import { randomBytes } from "node:crypto";
import { createSeededRandomSource, RandomSource } from "./randomSource.js";

/**
 * Creates a random source that is seeded by the operating system.
 *
 * @example
 * const random = createSystemRandomSource();
 */
export function createSystemRandomSource(): RandomSource {
    return createSeededRandomSource(randomBytes(4).readInt32BE());
}
