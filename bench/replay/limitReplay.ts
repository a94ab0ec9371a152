import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { pickByRendezvous } from "../../src/routing/rendezvous.js";
import { createLimitBudget, LimitSharing } from "../../src/scheduling/limitBudget.js";

/** How gateways divide the limit of an endpoint. */
export enum LimitDivision {
    /** Each gateway has an equal share. */
    EqualShare = "equal share",
    /** One gateway, which rendezvous names from the list that each gateway knows, sends all requests. */
    Owner = "owner",
    /** Gateways that hear of each other draw on one allowance. */
    Lent = "lent share",
}

export interface LimitLoad {
    readonly gateways: number;
    /** Gateways that hear of each other. */
    readonly cellSize: number;
    readonly perSecond: number;
    /** Requests a second of all gateways together. */
    readonly demandPerSecond: number;
    /** Whether one gateway in ten gets nine tenths of the requests. */
    readonly isUneven: boolean;
    readonly lostMessages: number;
    /** Whether no gateway hears of another, and a tenth of them know a list that lacks half of the gateways. */
    readonly isCutOff: boolean;
}

export interface LimitResult {
    /** Most requests in any 4 s, as a multiple of what the rule allows. */
    readonly mostOfAllowed: number;
    /** Requests sent, as a share of what the limit and the demand allow. */
    readonly used: number;
    readonly gatewaysWithout: number;
}

const durationMs = 30_000;
const settledMs = 3_000;
const windowMs = 4_000;
const stepMs = 4;
const messageMs = 4;
const endpoint = "endpoint";
/** Share of the steps in which a gateway with waiting requests looks for a place. */
const lookShare = 0.4;

/** Runs one division of a limit in virtual time. */
export function runLimitReplay(load: LimitLoad, division: LimitDivision, seed: number): LimitResult {
    const random = createSeededRandomSource(seed);
    const names = Array.from({ length: load.gateways }, (unused, index) => `gateway-${index}`);
    const heard = load.isCutOff ? 1 : Math.min(load.cellSize, load.gateways);
    const gateways = names.map((name, index) => {
        const isStale = load.isCutOff && index % 10 === 0;
        const known = isStale ? names.filter((unused, other) => other === index || other % 2 === 1) : names;
        const isOwner = pickByRendezvous(endpoint, known, item => item, 1)[0] === name;
        return { isOwner, known, budget: createLimitBudget(random), waiting: 0, sent: 0, hasAsked: false };
    });
    gateways.forEach(({ budget }) => budget.setLimit(endpoint, load.perSecond, 0));
    const sentAtMs: number[] = [];
    const messages: { readonly atMs: number; readonly gateway: number }[] = [];
    const hot = Math.max(1, Math.floor(load.gateways / 10));

    function getSharing(index: number): LimitSharing {
        const known = gateways[index]!.known.length;
        return { gateways: known, heard: division === LimitDivision.Lent ? Math.min(heard, known) : 1 };
    }

    function isAllowed(index: number, nowMs: number): boolean {
        const { isOwner, budget } = gateways[index]!;
        if (division === LimitDivision.Owner) {
            return isOwner && budget.canSend(endpoint, { gateways: 1, heard: 1 }, nowMs);
        }
        return budget.canSend(endpoint, getSharing(index), nowMs);
    }

    function send(index: number, nowMs: number): void {
        const gateway = gateways[index]!;
        gateway.waiting -= 1;
        gateway.sent += 1;
        sentAtMs.push(nowMs);
        const sharing = division === LimitDivision.Owner ? { gateways: 1, heard: 1 } : getSharing(index);
        gateway.budget.recordDispatch(endpoint, true, sharing, nowMs);
        const start = Math.floor(index / heard) * heard;
        for (
            let other = start;
            division === LimitDivision.Lent && other < Math.min(start + heard, load.gateways);
            other++
        ) {
            if (other !== index && random() >= load.lostMessages) {
                messages.push({ atMs: nowMs + messageMs, gateway: other });
            }
        }
    }

    for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
        const due = messages.filter(message => message.atMs <= nowMs);
        messages.splice(0, messages.length, ...messages.filter(message => message.atMs > nowMs));
        due.forEach(({ gateway }) =>
            gateways[gateway]!.budget.recordDispatch(endpoint, false, getSharing(gateway), nowMs)
        );
        const arrivals = load.demandPerSecond * stepMs / 1_000;
        const count = Math.floor(arrivals) + (random() < arrivals % 1 ? 1 : 0);
        for (let arrival = 0; arrival < count; arrival++) {
            const isHot = load.isUneven && random() < 0.9;
            const gateway = gateways[Math.floor(random() * (isHot ? hot : load.gateways))]!;
            gateway.hasAsked = true;
            // A request that finds two others waiting is refused.
            gateway.waiting = Math.min(2, gateway.waiting + 1);
        }
        for (const index of gateways.keys()) {
            // Gateways look for places at times that differ, as the placement queue does.
            if (gateways[index]!.waiting > 0 && random() < lookShare && isAllowed(index, nowMs)) {
                send(index, nowMs);
            }
        }
    }
    const settled = sentAtMs.filter(atMs => atMs >= settledMs);
    const most = Math.max(
        0,
        ...settled.map(start => settled.filter(atMs => atMs >= start && atMs < start + windowMs).length),
    );
    const possible = Math.min(load.perSecond, load.demandPerSecond) * (durationMs - settledMs) / 1_000;
    return {
        mostOfAllowed: most / (1.5 * load.perSecond * windowMs / 1_000 + 5),
        used: settled.length / possible,
        gatewaysWithout: gateways.filter(gateway => gateway.hasAsked && gateway.sent === 0).length,
    };
}

const sizes: readonly (readonly [number, number])[] = [[4, 4], [30, 8], [300, 10]];
const seeds = [1, 2, 3];

/** Renders a table with one row per number of gateways, situation and division. */
export function renderLimitTable(): string {
    const lines = [
        "| gateways (heard) | limit/s | situation | division | most in 4 s of allowed | used of the limit | gateways without, of those that asked |",
        "|---|---|---|---|---|---|---|",
    ];
    const situations: readonly (readonly [string, Partial<LimitLoad>])[] = [
        ["even", {}],
        ["a tenth of the gateways has 0.9 of the requests", { isUneven: true }],
        ["a tenth of the messages lost", { lostMessages: 0.1 }],
        ["nobody hears another, a tenth knows half of the list", { isCutOff: true }],
    ];
    for (const [gateways, cellSize] of sizes) {
        for (const perSecond of gateways > 30 ? [20] : [0.5, 20]) {
            for (const [situation, changes] of situations) {
                const load: LimitLoad = {
                    gateways,
                    cellSize,
                    perSecond,
                    demandPerSecond: 3 * perSecond,
                    isUneven: false,
                    lostMessages: 0.01,
                    isCutOff: false,
                    ...changes,
                };
                for (const division of Object.values(LimitDivision)) {
                    const results = seeds.map(seed => runLimitReplay(load, division, seed));
                    const most = Math.max(...results.map(result => result.mostOfAllowed)).toFixed(2);
                    const used = results.reduce((sum, result) => sum + result.used, 0) / results.length;
                    const without = Math.max(...results.map(result => result.gatewaysWithout));
                    lines.push(
                        `| ${gateways} (${cellSize}) | ${perSecond} | ${situation} | ${division} | ${most} | ${
                            used.toFixed(2)
                        } | ${without} |`,
                    );
                }
            }
        }
    }
    return lines.join("\n");
}
