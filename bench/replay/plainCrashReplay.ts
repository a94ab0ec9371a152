import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { createMetrics } from "../../src/base/metrics.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import {
    createQuarantineRegistry,
    listTraits,
    QuarantineRegistry,
    QuarantineSource,
} from "../../src/gateway/quarantineRegistry.js";
import { Treatment } from "../../src/quarantine/quarantine.js";

/** Requests to a plain service, and how its instances end. Rates are a second. */
export interface PlainCrashLoad {
    readonly name: string;
    readonly gateways: number;
    readonly instances: number;
    /** Requests that are the same for everybody, and how often they are sent in all. */
    readonly popularPerSecond: number;
    /** Requests of which each is sent only now and then, by one customer, who repeats it when it fails. */
    readonly rarePerSecond: number;
    /** The request that ends instances; 0 for none. */
    readonly badPerSecond: number;
    readonly crashAfterMs: number;
    /** Instances that lose power together, within `powerLossSpreadMs`, at each interval; 0 for none. */
    readonly powerLossInstances: number;
    readonly powerLossIntervalMs: number;
    readonly powerLossSpreadMs: number;
}

/** What one simulated run showed. */
export interface PlainCrashResult {
    /** Instances that had ended under the bad request when a gateway quarantined it; undefined if none did. */
    readonly crashesUntilKnown: number | undefined;
    /** Bad requests that reached instances later than the time limit after its third crash. */
    readonly lateRequests: number;
    /** Sound requests that were sent, and those of them that were refused as crashing endpoints. */
    readonly sound: number;
    readonly soundRefused: number;
}

const durationMs = 45_000;
const stepMs = 5;
const answerMs = 45;
const settlingMs = 150;
const restartMs = 3_200;
const messageMs = 15;
const repeatDelayMs = 400;
const maxAttempts = 2;
const popularRequests = 5;
const rareRequests = 60;
const allowedCrashes = 3;
const knownWithinMs = 3_000;
const badRequest = "bad";

interface Running {
    readonly gateway: number;
    readonly name: string;
    readonly attempt: number;
    readonly sentAtMs: number;
}

interface Instance {
    incarnation: number;
    upAtMs: number;
    running: Running[];
    /** Requests that the instance has answered so lately that they are suspects if it ends now. */
    answered: Running[];
}

/**
 * Runs the quarantines of several gateways against a plain service in virtual time.
 *
 * @example
 * runPlainCrashReplay(plainCrashLoads[0]!, 1).crashesUntilKnown; // 3
 */
export function runPlainCrashReplay(load: PlainCrashLoad, seed: number): PlainCrashResult {
    const random = createSeededRandomSource(seed);
    const pickIndex = (count: number) => Math.floor(random() * count);
    const timers = createManualTimerService();
    const instances: Instance[] = Array.from({ length: load.instances }, () => ({
        incarnation: 0,
        upAtMs: 0,
        running: [],
        answered: [],
    }));
    const badCrashesMs: number[] = [];
    let crashesUntilKnown: number | undefined;
    let lateRequests = 0;
    let sound = 0;
    let soundRefused = 0;

    const registries: QuarantineRegistry[] = Array.from({ length: load.gateways }, (unused, index) => {
        const sendToOthers = (deliver: (registry: QuarantineRegistry, delayMs: number) => void) => {
            registries.filter((other, position) => position !== index).forEach(other => {
                const delayMs = messageMs * (0.5 + random());
                timers.schedule(delayMs, () => deliver(other, delayMs));
            });
        };
        return createQuarantineRegistry({
            timers,
            log: () => undefined,
            metrics: createMetrics(),
            reportCrash: report =>
                sendToOthers((other, delayMs) => other.applyCrash({ ...report, ageMs: report.ageMs + delayMs }, false)),
            reportTerm(term) {
                if (term.isActive && term.trait.endsWith(badRequest)) {
                    crashesUntilKnown ??= badCrashesMs.length;
                }
                sendToOthers(other => other.applyTerm(term, QuarantineSource.Gateway));
            },
            isTester: () => index === 0,
        });
    });

    function getTraits(name: string): string[] {
        return listTraits("desk", [], name);
    }

    function crash(instance: Instance): void {
        const id = `${instances.indexOf(instance)}/${instance.incarnation}`;
        const nowMs = timers.now();
        instance.incarnation += 1;
        instance.upAtMs = nowMs + restartMs;
        const broken = instance.running.splice(0);
        const suspected = [...broken, ...instance.answered.splice(0)];
        for (const gateway of new Set(suspected.map(request => request.gateway))) {
            const suspects = suspected.filter(request => request.gateway === gateway);
            registries[gateway]!.applyCrash({
                crash: id,
                ageMs: 0,
                suspects: suspects.map(request => getTraits(request.name)),
                runningMs: suspects.map(request => nowMs - request.sentAtMs),
            }, true);
        }
        broken.forEach(request => retry(request));
    }

    function retry({ gateway, name, attempt }: Running): void {
        if (attempt < maxAttempts) {
            submit(name, gateway, attempt + 1);
        }
        else if (name !== badRequest) {
            timers.schedule(repeatDelayMs, () => submit(name, pickIndex(load.gateways), 1));
        }
    }

    function submit(name: string, gateway: number, attempt: number): void {
        const nowMs = timers.now();
        const registry = registries[gateway]!;
        const isRefused = registry.decideTreatment(getTraits(name)) === Treatment.Quarantined;
        if (name !== badRequest) {
            sound += attempt === 1 ? 1 : 0;
            soundRefused += isRefused ? 1 : 0;
        }
        const up = instances.filter(instance => instance.upAtMs <= nowMs);
        const instance = up[pickIndex(up.length)];
        if (isRefused || !instance) {
            return;
        }
        registry.startTest(getTraits(name));
        const thirdMs = badCrashesMs[allowedCrashes - 1];
        if (name === badRequest && thirdMs !== undefined && nowMs > thirdMs + knownWithinMs) {
            lateRequests += 1;
        }
        instance.running.push({ gateway, name, attempt, sentAtMs: nowMs });
    }

    function advanceInstance(instance: Instance): void {
        const nowMs = timers.now();
        for (const request of [...instance.running]) {
            const elapsedMs = nowMs - request.sentAtMs;
            if (request.name === badRequest && elapsedMs >= load.crashAfterMs) {
                badCrashesMs.push(nowMs);
                crash(instance);
                return;
            }
            if (request.name !== badRequest && elapsedMs >= answerMs) {
                instance.running = instance.running.filter(other => other !== request);
                const { incarnation } = instance;
                instance.answered.push(request);
                timers.schedule(settlingMs, () => {
                    instance.answered = instance.answered.filter(other => other !== request);
                    if (instance.incarnation === incarnation) {
                        registries[request.gateway]!.recordAnswer(getTraits(request.name), settlingMs);
                    }
                });
            }
        }
    }

    function losePower(): void {
        for (const instance of instances.slice(0, load.powerLossInstances)) {
            timers.schedule(load.powerLossSpreadMs * random(), () => {
                if (instance.upAtMs <= timers.now()) {
                    crash(instance);
                }
            });
        }
    }

    while (timers.now() < durationMs) {
        const isDue = (perSecond: number) => random() < perSecond * stepMs / 1_000;
        if (isDue(load.popularPerSecond)) {
            submit(`popular${pickIndex(popularRequests)}`, pickIndex(load.gateways), 1);
        }
        if (isDue(load.rarePerSecond)) {
            submit(`rare${pickIndex(rareRequests)}`, pickIndex(load.gateways), 1);
        }
        if (timers.now() > 2_000 && isDue(load.badPerSecond)) {
            submit(badRequest, pickIndex(load.gateways), 1);
        }
        if (load.powerLossInstances > 0 && timers.now() > 0 && timers.now() % load.powerLossIntervalMs === 0) {
            losePower();
        }
        instances.forEach(advanceInstance);
        timers.advance(stepMs);
    }
    return { crashesUntilKnown, lateRequests, sound, soundRefused };
}

const ordinary: PlainCrashLoad = {
    name: "three instances, a request that ends them sent again and again",
    gateways: 4,
    instances: 3,
    popularPerSecond: 30,
    rarePerSecond: 10,
    badPerSecond: 1,
    crashAfterMs: 80,
    powerLossInstances: 0,
    powerLossIntervalMs: 1,
    powerLossSpreadMs: 0,
};

/** Load patterns that the decision is made for. */
export const plainCrashLoads: readonly PlainCrashLoad[] = [
    ordinary,
    { ...ordinary, name: "the same, sent ten times a second", badPerSecond: 10 },
    {
        ...ordinary,
        name: "the same, once in five seconds, little else",
        badPerSecond: 0.2,
        popularPerSecond: 2,
        rarePerSecond: 2,
    },
    { ...ordinary, name: "instances end two seconds after it began, with many bystanders", crashAfterMs: 2_000 },
    {
        ...ordinary,
        name: "twelve instances, 30 gateways",
        instances: 12,
        gateways: 30,
        popularPerSecond: 100,
        badPerSecond: 4,
    },
    {
        ...ordinary,
        name: "one of three instances loses power every 5 s",
        badPerSecond: 0,
        powerLossInstances: 1,
        powerLossIntervalMs: 5_000,
    },
    {
        ...ordinary,
        name: "all three lose power at once every 8 s",
        badPerSecond: 0,
        powerLossInstances: 3,
        powerLossIntervalMs: 8_000,
    },
    {
        ...ordinary,
        name: "all three lose power within 200 ms every 8 s",
        badPerSecond: 0,
        powerLossInstances: 3,
        powerLossIntervalMs: 8_000,
        powerLossSpreadMs: 200,
    },
    {
        ...ordinary,
        name: "all three lose power within 200 ms every 8 s, and the request that ends them",
        badPerSecond: 1,
        powerLossInstances: 3,
        powerLossIntervalMs: 8_000,
        powerLossSpreadMs: 200,
    },
];

const seeds = Array.from({ length: 50 }, (unused, index) => index + 1);

/** Renders a table with one row per load: crashes until the bad request is known, and sound requests that were refused. */
export function renderPlainCrashTable(): string {
    const lines = [
        "| load on a plain service | known after crashes, mean (most) | not found | late requests, most | sound requests refused |",
        "|---|---|---|---|---|",
    ];
    for (const load of plainCrashLoads) {
        const results = seeds.map(seed => runPlainCrashReplay(load, seed));
        const counts = results.map(result => result.crashesUntilKnown).filter(count => count !== undefined);
        const mean = counts.reduce((sum, count) => sum + count, 0) / Math.max(1, counts.length);
        const isBad = load.badPerSecond > 0;
        const known = isBad ? `${mean.toFixed(1)} (${Math.max(...counts)})` : "";
        const missing = isBad ? `${results.length - counts.length} of ${results.length}` : "";
        const late = isBad ? String(Math.max(...results.map(result => result.lateRequests))) : "";
        const sound = results.reduce((sum, result) => sum + result.sound, 0);
        const refused = results.reduce((sum, result) => sum + result.soundRefused, 0);
        lines.push(`| ${load.name} | ${known} | ${missing} | ${late} | ${refused} of ${sound} |`);
    }
    return lines.join("\n");
}
