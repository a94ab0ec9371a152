import { ReplayEngines, ReplayKind, ReplayLoad } from "./replay.js";

export const draft: ReplayKind = {
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
export const read: ReplayKind = {
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
export const digest: ReplayKind = {
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

/** A cell of engines whose prefill of the longest prompts takes longer on one of them than customers wait. */
const cellEngines: ReplayEngines = {
    count: 22,
    profile: {
        slots: 8,
        memoryTokens: 344_250,
        stepsPerPass: 38,
        stepMs: 1.31,
        stepMsPerSequence: 0.000917,
        stepMsPerThousandTokens: 0.00213,
        prefillTokensPerSecond: 154_000,
        attentionMsPerMillionPairs: 0.162,
        prefillChunkTokens: 2_048,
        meanOutputTokens: 1_300,
    },
};
const query: ReplayKind = { ...draft, name: "query", events: 36, firstEventTargetMs: 300, value: 1.3 };
const summary: ReplayKind = { ...read, name: "summary", events: 21, value: 3.3 };
const ledger: ReplayKind = {
    ...digest,
    name: "ledger",
    rank: 1,
    meanTokens: 260_000,
    maxTokens: 900_000,
    events: 18,
    firstEventTargetMs: 4_000,
    value: 34,
};

/** Steady short prompts, with very long ones that come now and then. */
export const steadyVeryLong: ReplayLoad = {
    name: "very long prompts over steady short ones",
    durationMs: 20_000,
    engines: cellEngines,
    kinds: [{ ...query, perSecond: 22 }, { ...summary, perSecond: 1.5 }, { ...ledger, perSecond: 0.5 }],
};

/** A burst of very long prompts over steady short ones. Their prefill needs all engines for as long as the burst. */
export const veryLongBurst: ReplayLoad = {
    name: "burst of very long prompts",
    durationMs: 10_000,
    engines: cellEngines,
    kinds: [{ ...query, perSecond: 16 }, { ...summary, perSecond: 2.5 }, { ...ledger, perSecond: 1.6 }],
};

/** A burst of short prompts that takes most slots. */
export const shortBurst: ReplayLoad = {
    name: "burst of short prompts over very long ones",
    durationMs: 10_000,
    engines: cellEngines,
    kinds: [{ ...query, perSecond: 56 }, { ...summary, perSecond: 2 }, { ...ledger, perSecond: 0.4 }],
};
