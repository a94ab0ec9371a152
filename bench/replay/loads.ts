import { ReplayKind, ReplayLoad } from "./replay.js";

const draft: ReplayKind = {
    name: "draft",
    rank: 0,
    perSecond: 20,
    meanTokens: 4_960,
    spread: 0.9,
    maxTokens: 23_800,
    events: 33,
    firstEventTargetMs: 250,
    gapTargetMs: 250,
    customerTimeoutMs: 2_000,
    value: 1.8,
};
const read: ReplayKind = {
    name: "read",
    rank: 1,
    perSecond: 1,
    meanTokens: 45_000,
    spread: 0.5,
    maxTokens: 110_000,
    events: 20,
    firstEventTargetMs: 1_500,
    gapTargetMs: 600,
    customerTimeoutMs: 6_000,
    value: 3,
};
const digest: ReplayKind = {
    name: "digest",
    rank: 2,
    perSecond: 0.6,
    meanTokens: 154_000,
    spread: 0.55,
    maxTokens: 300_000,
    events: 16,
    firstEventTargetMs: 6_000,
    gapTargetMs: 1_000,
    customerTimeoutMs: 15_000,
    value: 7.5,
};

/** Ordinary traffic without a flood. */
export const ordinaryLoad: ReplayLoad = { name: "quiet", durationMs: 20_000, kinds: [draft, read, digest] };

/** Ordinary traffic with a flood of the least urgent and longest prompts. */
export const longFlood: ReplayLoad = {
    name: "flood of digests",
    durationMs: 10_000,
    kinds: [draft, read, { ...digest, perSecond: 1.5 }],
};

/**
 * A flood of prompts whose prefill takes up to 40 s on one engine. Prefill alone needs half of the time of all engines.
 */
export const hugeFlood: ReplayLoad = {
    name: "flood of huge digests",
    durationMs: 10_000,
    kinds: [{ ...draft, perSecond: 8 }, read, { ...digest, perSecond: 1.5, spread: 0.7, maxTokens: 700_000 }],
};

/** A flood of the most urgent prompts. */
export const draftFlood: ReplayLoad = {
    name: "flood of drafts",
    durationMs: 10_000,
    kinds: [{ ...draft, perSecond: 50 }, { ...read, perSecond: 0.5 }, { ...digest, perSecond: 0.1 }],
};

export const replayLoads: readonly ReplayLoad[] = [ordinaryLoad, longFlood, hugeFlood, draftFlood];
