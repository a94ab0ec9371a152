import { digest, draft, read } from "./loads.js";
import { ReplayKind, ReplayLoad } from "./replay.js";

/** Hashes of the names of customers. */
const [large, small, third] = [1, 2, 3];
const durationMs = 12_000;
const shortDraft: ReplayKind = { ...draft, eventSpread: 0.7 };
const smallDraft: ReplayKind = { ...shortDraft, name: "draft of small", customer: small, perSecond: 8 };
const smallRead: ReplayKind = { ...read, name: "read of small", customer: small, perSecond: 1.5 };
const thirdDraft: ReplayKind = { ...shortDraft, name: "draft of third", customer: third, perSecond: 8 };
const whileSteady: ReplayKind["periods"] = [[2_000, 8_000]];

/** Makes the requests of the large customer. Twice as many as 14 engines can run are 6 digests or 160 drafts a second. */
function makeFlood(kind: ReplayKind, perSecond: number, changes: Partial<ReplayKind> = {}): ReplayKind {
    return { ...kind, name: `${kind.name} of large`, customer: large, perSecond, ...changes };
}

function makePattern(name: string, kinds: readonly ReplayKind[], changes: Partial<ReplayLoad> = {}): ReplayLoad {
    return { name, durationMs, kinds, ...changes };
}

/** Load patterns with several customers. The large one causes the overload. */
export const loadPatterns: readonly ReplayLoad[] = [
    makePattern("burst of long prompts over steady short ones", [
        smallDraft,
        thirdDraft,
        makeFlood(digest, 6, { periods: whileSteady }),
    ]),
    makePattern("burst of short prompts over steady long ones", [
        makeFlood(shortDraft, 160, { periods: whileSteady }),
        smallRead,
    ]),
    makePattern("bursts of long and of short prompts in alternation", [
        smallDraft,
        smallRead,
        makeFlood(digest, 6, { periods: [[2_000, 4_000], [6_000, 8_000]] }),
        makeFlood(shortDraft, 160, { periods: [[4_000, 6_000], [8_000, 10_000]] }),
    ]),
    makePattern("one customer at twenty times the load of the others", [
        smallDraft,
        smallRead,
        thirdDraft,
        makeFlood(shortDraft, 160),
    ]),
    makePattern("immediate retries by a third of the customers", [
        smallDraft,
        thirdDraft,
        makeFlood(shortDraft, 120, { periods: whileSteady, maxRetries: 10 }),
    ]),
    makePattern("half the engines lost within a second", [smallDraft, smallRead, makeFlood(shortDraft, 60)], {
        losses: { count: 7, fromMs: 4_000, toMs: 5_000 },
    }),
    makePattern("a third of the engines back from a restart and cold", [
        smallDraft,
        smallRead,
        makeFlood(shortDraft, 80),
    ], { returns: { count: 5, atMs: 2_000, coldMs: 6_000 } }),
];
