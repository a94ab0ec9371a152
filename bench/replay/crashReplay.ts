import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { createCrashEvidence, defaultEvidenceSettings, isCrashSuspect } from "../../src/quarantine/crashEvidence.js";

/** Load and crashes of a simulated deployment. Rates are a second. */
export interface CrashLoad {
    readonly name: string;
    readonly gateways: number;
    readonly engines: number;
    readonly soundPerSecond: number;
    /** Parts that sound requests have in common, besides the first part of all requests. */
    readonly soundParts: number;
    readonly badParts: number;
    readonly badPerSecond: number;
    /** Engines that end together, as those of a rack, at each interval. */
    readonly rackEngines: number;
    readonly rackIntervalMs: number;
    /** Share of the messages between gateways that are lost. */
    readonly lostMessages: number;
}

/** What one simulated run showed. */
export interface CrashResult {
    /** Crashes until the first gateway knew each bad part, the most of all parts; undefined if one was not found. */
    readonly crashesUntilKnown: number | undefined;
    /** Requests with bad parts that reached engines later than the time limit after the fifth crash of their part. */
    readonly lateRequests: number;
    /** Sound parts that were quarantined. */
    readonly falseQuarantines: number;
    readonly crashes: number;
}

const durationMs = 30_000;
const stepMs = 10;
const firstEventMs = 90;
const eventMs = 50;
const answerMs = 900;
const crashAfterMs = 80;
const restartMs = 2_500;
const messageMs = 15;
const allowedCrashes = 5;
const knownWithinMs = 3_000;
const firstPart = "first";

interface Running {
    readonly gateway: number;
    readonly traits: readonly string[];
    readonly isBad: boolean;
    readonly sentAtMs: number;
    hasProgressed: boolean;
}

interface Engine {
    incarnation: number;
    upAtMs: number;
    running: Running[];
}

/**
 * Runs the decision about crashing parts against engines in virtual time, with one evidence for each gateway.
 *
 * @example
 * runCrashReplay(crashLoads[0]!, 1).falseQuarantines; // 0
 */
export function runCrashReplay(load: CrashLoad, seed: number): CrashResult {
    const random = createSeededRandomSource(seed);
    const pickIndex = (count: number) => Math.floor(random() * count);
    const gateways = Array.from({ length: load.gateways }, () => ({
        evidence: createCrashEvidence(defaultEvidenceSettings),
        quarantined: new Set<string>(),
    }));
    const engines: Engine[] = Array.from({ length: load.engines }, () => ({ incarnation: 0, upAtMs: 0, running: [] }));
    const messages: { readonly atMs: number; readonly deliver: () => void }[] = [];
    const crashTimesMs = new Map<string, number[]>();
    const crashesUntilKnown = new Map<string, number>();
    const falseQuarantines = new Set<string>();
    let nextRequest = 0;
    let lateRequests = 0;
    let crashes = 0;

    function sendToOthers(from: number, nowMs: number, deliver: (gateway: number) => void): void {
        for (let gateway = 0; gateway < load.gateways; gateway++) {
            if (gateway !== from) {
                // Messages are repeated with snapshots, half a second apart.
                const repeats = random() < load.lostMessages ? 500 : 0;
                messages.push({ atMs: nowMs + messageMs + repeats, deliver: () => deliver(gateway) });
            }
        }
    }

    function takeCulprits(gateway: number, nowMs: number): void {
        const { evidence, quarantined } = gateways[gateway]!;
        for (let culprit = evidence.takeCulprit(nowMs); culprit; culprit = evidence.takeCulprit(nowMs)) {
            const { trait } = culprit;
            quarantined.add(trait);
            if (!trait.startsWith("bad") && !trait.startsWith("request")) {
                falseQuarantines.add(trait);
            }
            crashesUntilKnown.set(trait, crashesUntilKnown.get(trait) ?? crashTimesMs.get(trait)?.length ?? 0);
            sendToOthers(gateway, nowMs, other => {
                gateways[other]!.quarantined.add(trait);
                gateways[other]!.evidence.assignCrashes(trait);
            });
        }
    }

    function crash(engine: Engine, nowMs: number): void {
        crashes += 1;
        const id = `${engines.indexOf(engine)}/${engine.incarnation}`;
        engine.incarnation += 1;
        engine.upAtMs = nowMs + restartMs;
        const broken = engine.running.splice(0);
        for (const gateway of new Set(broken.map(request => request.gateway))) {
            const suspects = broken.filter(request =>
                request.gateway === gateway && isCrashSuspect({
                    events: Math.max(0, Math.ceil((nowMs - request.sentAtMs - firstEventMs) / eventMs)),
                    elapsedMs: nowMs - request.sentAtMs,
                    predictedMs: firstEventMs,
                })
            ).map(request => request.traits);
            const report = { crash: id, ageMs: 0, suspects };
            gateways[gateway]!.evidence.recordCrash(report, nowMs);
            takeCulprits(gateway, nowMs);
            sendToOthers(gateway, nowMs, other => {
                gateways[other]!.evidence.recordCrash(report, nowMs);
                takeCulprits(other, nowMs + messageMs);
            });
        }
    }

    function submit(isBad: boolean, nowMs: number): void {
        const gateway = pickIndex(load.gateways);
        const part = isBad ? `bad${pickIndex(load.badParts)}` : `part${Math.floor(load.soundParts * random() ** 2)}`;
        const up = engines.filter(engine => engine.upAtMs <= nowMs);
        const engine = up[pickIndex(up.length)];
        if (!engine || gateways[gateway]!.quarantined.has(part)) {
            return;
        }
        const fifthMs = crashTimesMs.get(part)?.[allowedCrashes - 1];
        if (isBad && fifthMs !== undefined && nowMs > fifthMs + knownWithinMs) {
            lateRequests += 1;
        }
        const traits = [firstPart, part, `request${nextRequest++}`];
        engine.running.push({ gateway, traits, isBad, sentAtMs: nowMs, hasProgressed: false });
    }

    function advanceEngine(engine: Engine, nowMs: number): void {
        for (const request of [...engine.running]) {
            const elapsedMs = nowMs - request.sentAtMs;
            if (request.isBad && elapsedMs >= firstEventMs + crashAfterMs) {
                const times = crashTimesMs.get(request.traits[1]!) ?? [];
                crashTimesMs.set(request.traits[1]!, [...times, nowMs]);
                crash(engine, nowMs);
                return;
            }
            if (!request.isBad && !request.hasProgressed && elapsedMs >= firstEventMs + 4 * eventMs) {
                request.hasProgressed = true;
                gateways[request.gateway]!.evidence.recordAnswer(request.traits, nowMs);
            }
        }
        engine.running = engine.running.filter(request => nowMs - request.sentAtMs < answerMs);
    }

    for (let nowMs = 0; nowMs < durationMs; nowMs += stepMs) {
        const isDue = (perSecond: number) => random() < perSecond * stepMs / 1_000;
        const dueMessages = messages.filter(message => message.atMs <= nowMs);
        messages.splice(0, messages.length, ...messages.filter(message => message.atMs > nowMs));
        dueMessages.forEach(message => message.deliver());
        const steps = Math.ceil(load.soundPerSecond * stepMs / 1_000);
        for (let step = 0; step < steps; step++) {
            if (isDue(load.soundPerSecond / steps)) {
                submit(false, nowMs);
            }
        }
        if (load.badParts > 0 && isDue(load.badPerSecond)) {
            submit(true, nowMs);
        }
        if (load.rackEngines > 0 && nowMs > 0 && nowMs % load.rackIntervalMs === 0) {
            engines.slice(0, load.rackEngines).forEach(engine => crash(engine, nowMs));
        }
        engines.forEach(engine => advanceEngine(engine, nowMs));
    }
    const bad = Array.from({ length: load.badParts }, (unused, index) => crashesUntilKnown.get(`bad${index}`));
    return {
        crashesUntilKnown: bad.some(count => count === undefined)
            ? undefined
            : Math.max(0, ...bad.map(count => count!)),
        lateRequests,
        falseQuarantines: falseQuarantines.size,
        crashes,
    };
}

const ordinary: CrashLoad = {
    name: "flood of sound requests, a bad one now and then",
    gateways: 4,
    engines: 18,
    soundPerSecond: 60,
    soundParts: 200,
    badParts: 1,
    badPerSecond: 0.5,
    rackEngines: 0,
    rackIntervalMs: 1,
    lostMessages: 0.03,
};

/** Load patterns that the decision is made for. */
export const crashLoads: readonly CrashLoad[] = [
    ordinary,
    { ...ordinary, name: "a fourth of the requests is bad", badPerSecond: 15 },
    { ...ordinary, name: "two bad parts at once", badParts: 2, badPerSecond: 10 },
    { ...ordinary, name: "few sound requests, many parts", soundPerSecond: 8, soundParts: 400, badPerSecond: 4 },
    { ...ordinary, name: "a rack of six engines ends every 4 s", badParts: 0, rackEngines: 6, rackIntervalMs: 4_000 },
    { ...ordinary, name: "all engines end every 8 s", badParts: 0, rackEngines: 18, rackIntervalMs: 8_000 },
    {
        ...ordinary,
        name: "a bad part while a rack ends every 4 s",
        badPerSecond: 4,
        rackEngines: 6,
        rackIntervalMs: 4_000,
    },
    {
        ...ordinary,
        name: "30 gateways, 120 engines",
        gateways: 30,
        engines: 120,
        soundPerSecond: 400,
        badPerSecond: 15,
    },
];

const seeds = Array.from({ length: 50 }, (unused, index) => index + 1);

/** Renders a table with one row per load: crashes until a bad part is known, and sound parts that were quarantined. */
export function renderCrashTable(): string {
    const lines = [
        "| load | known after crashes, mean (most) | not found | late requests, most | runs with a sound part quarantined |",
        "|---|---|---|---|---|",
    ];
    for (const load of crashLoads) {
        const results = seeds.map(seed => runCrashReplay(load, seed));
        const counts = results.map(result => result.crashesUntilKnown).filter(count => count !== undefined);
        const mean = counts.reduce((sum, count) => sum + count, 0) / Math.max(1, counts.length);
        const missing = results.length - counts.length;
        const late = Math.max(...results.map(result => result.lateRequests));
        const wrong = results.filter(result => result.falseQuarantines > 0).length;
        const known = load.badParts > 0 ? `${mean.toFixed(1)} (${Math.max(...counts)})` : "";
        lines.push(
            `| ${load.name} | ${known} | ${missing} of ${results.length} | ${late} | ${wrong} of ${results.length} |`,
        );
    }
    return lines.join("\n");
}
