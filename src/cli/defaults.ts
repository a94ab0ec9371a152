import { defaultMaxFrameBytes } from "../link/frame.js";

/** Default settings of links, shared by entry and sidecar. */
export const linkDefaults = {
    heartbeatIntervalMs: 1_000,
    maxFrameBytes: defaultMaxFrameBytes,
    resumeGraceMs: 3_000,
    sessionGraceMs: 5_000,
} as const;

/** Default settings of an entry. */
export const entryDefaults = {
    maxBodyBytes: 8 * 1024 * 1024,
    maxUnsentBytes: 1024 * 1024,
    maxRequests: 10_000,
    maxHeldBytes: 64 * 1024 * 1024,
    maxConnections: 20_000,
    drainDelayMs: 500,
} as const;

/** Default settings of a sidecar. */
export const sidecarDefaults = {
    maxQueuedRequests: 1_000,
    maxQueuedBytes: 32 * 1024 * 1024,
    /** Must be below the 42 ms between tokens that customers are promised. */
    chunkIntervalMs: 25,
    retainEndedMs: 10_000,
    maxConnections: 2_000,
} as const;
