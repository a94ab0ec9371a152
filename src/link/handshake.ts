import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Which end of a link makes a proof. The role is part of the proof, so that a proof cannot be reflected. */
export enum LinkRole {
    Entry = "entry",
    Sidecar = "sidecar",
}

const nonceBytes = 16;

/** Makes the nonce of one end for one connection. */
export function makeNonce(): Buffer {
    return randomBytes(nonceBytes);
}

/**
 * Signs a handshake with the shared link key. An empty key makes proofs that every end with an empty key accepts.
 *
 * @example
 * const proof = signHandshake("key", LinkRole.Entry, challenge.nonce, hello.nonce);
 */
export function signHandshake(
    key: string,
    role: LinkRole,
    sidecarNonce: Uint8Array,
    entryNonce: Uint8Array,
): Buffer {
    return createHmac("sha256", key).update(role).update(sidecarNonce).update(entryNonce).digest();
}

/** Verifies the proof of the other end in constant time. */
export function verifyHandshake(
    key: string,
    role: LinkRole,
    sidecarNonce: Uint8Array,
    entryNonce: Uint8Array,
    proof: Uint8Array,
): boolean {
    const expected = signHandshake(key, role, sidecarNonce, entryNonce);
    return proof.length === expected.length && timingSafeEqual(proof, expected);
}
