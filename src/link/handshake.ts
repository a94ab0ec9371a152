import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** The end of a link that signs a proof. The role is part of the signed data, which prevents reflection attacks. */
export enum LinkRole {
    Entry = "entry",
    Sidecar = "sidecar",
}

const nonceBytes = 16;

/** Creates the nonce that one end uses for one connection. */
export function makeNonce(): Buffer {
    return randomBytes(nonceBytes);
}

/**
 * Signs a handshake with the shared link key. With an empty key links are not authenticated: every end with an empty
 * key accepts the proof.
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
