import { createHash, timingSafeEqual } from "node:crypto";
import { v7 as makeUuidV7, validate as isUuid, version as getUuidVersion } from "uuid";

/**
 * Generates a unique id. Ids are UUIDv7, so that they sort by creation time.
 *
 * @example
 * const id = makeId(); // "0193..."
 */
export function makeId(): string {
    return makeUuidV7();
}

const timestampHexDigits = 12;

/**
 * Returns the creation time of a UUIDv7 in milliseconds since the Unix epoch, or `undefined` if `id` is not a UUIDv7.
 *
 * @example
 * getIdTime("0193a5b0-0000-7000-8000-000000000000");
 */
export function getIdTime(id: string): number | undefined {
    if (!isUuid(id) || getUuidVersion(id) !== 7) {
        return undefined;
    }
    return parseInt(id.replaceAll("-", "").slice(0, timestampHexDigits), 16);
}

/**
 * Returns the SHA-256 digest of a string or byte array in lower-case hexadecimal.
 *
 * @example
 * computeDigest("key");
 */
export function computeDigest(content: string | Uint8Array): string {
    return createHash("sha256").update(content).digest("hex");
}

/**
 * Compares two hexadecimal digests in constant time, so that the duration does not reveal how many digits match.
 */
export function isSameDigest(left: string, right: string): boolean {
    const leftBytes = Buffer.from(left, "utf8");
    const rightBytes = Buffer.from(right, "utf8");
    return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
}
