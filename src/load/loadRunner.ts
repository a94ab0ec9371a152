import { performance } from "node:perf_hooks";
import { TimerService, waitFor } from "../base/timerService.js";
import { Arrival, buildArrivals } from "./arrivals.js";
import { AppliedFault, FaultTargets, startFaultScript } from "./faultScript.js";
import { createLoadClient, SendResult } from "./loadClient.js";
import { LoadPlan } from "./loadPlan.js";
import { Outcome, OutcomeKind } from "./outcome.js";

/** Resources that the load tool itself used during a run. */
export interface ToolOverhead {
    /** Share of the time in which the tool's event loop was busy, from 0 to 1. */
    readonly eventLoopBusy: number;
    /** Processor time of the tool, in milliseconds. */
    readonly processorMs: number;
    readonly residentBytes: number;
    readonly maxInFlight: number;
}

/** Results of one run of a plan. */
export interface LoadRun {
    readonly plan: LoadPlan;
    readonly seed: number;
    readonly outcomes: readonly Outcome[];
    readonly faults: readonly AppliedFault[];
    readonly overhead: ToolOverhead;
}

const millisecondsPerSecond = 1000;
const drainPollMs = 20;

/**
 * Runs a plan with open-loop arrivals: a request is sent at its planned time, however slow the answers are. Times are
 * measured from the planned time of arrival, so that a delay of the tool or of a connection counts.
 *
 * @example
 * const run = await runLoad(plan, 42, ["http://127.0.0.1:8080"], { processes: {}, controls: {} }, timers);
 */
export async function runLoad(
    plan: LoadPlan,
    seed: number,
    targets: readonly string[],
    faultTargets: FaultTargets,
    timers: TimerService,
): Promise<LoadRun> {
    const arrivals = buildArrivals(plan, seed);
    const client = createLoadClient(plan, seed, targets, timers);
    const outcomes: Outcome[] = [];
    const processorStart = process.cpuUsage();
    const loopStart = performance.eventLoopUtilization();
    const startedMs = timers.now();
    const faults = startFaultScript(plan.faults, faultTargets, timers);
    let inFlight = 0;
    let maxInFlight = 0;

    async function sendWithRepeats(arrival: Arrival) {
        const { maxRepeats } = plan.streams[arrival.stream]!;
        let result = await client.send(arrival, undefined);
        let repeats = 0;
        while (result.kind === OutcomeKind.Refused && result.retryAfterSeconds !== undefined && repeats < maxRepeats) {
            repeats++;
            await waitFor(timers, result.retryAfterSeconds * millisecondsPerSecond);
            result = await client.send(arrival, result.ticket);
        }
        return { result, repeats };
    }

    function record(arrival: Arrival, lagMs: number, result: SendResult, repeats: number) {
        const plannedMs = startedMs + arrival.atMs;
        const { rank, timeLimitMs } = plan.streams[arrival.stream]!;
        const { kind, status, code, verdict, retryAfterSeconds, gapsMs, message, firstTokenAtMs } = result;
        outcomes.push({
            arrival,
            kind,
            rank,
            limitMs: timeLimitMs,
            lagMs,
            firstTokenMs: firstTokenAtMs === undefined ? undefined : firstTokenAtMs - plannedMs,
            totalMs: timers.now() - plannedMs,
            gapsMs,
            status,
            code,
            verdict,
            retryAfterSeconds,
            hasTicket: result.ticket !== undefined,
            repeats,
            message,
        });
    }

    async function send(arrival: Arrival) {
        const lagMs = timers.now() - startedMs - arrival.atMs;
        if (inFlight >= plan.maxInFlight) {
            record(arrival, lagMs, makeNotSentResult(), 0);
            return;
        }
        inFlight++;
        maxInFlight = Math.max(maxInFlight, inFlight);
        const { result, repeats } = await sendWithRepeats(arrival);
        inFlight--;
        record(arrival, lagMs, result, repeats);
    }

    for (const arrival of arrivals) {
        const waitMs = startedMs + arrival.atMs - timers.now();
        if (waitMs > 0) {
            await waitFor(timers, waitMs);
        }
        void send(arrival);
    }
    const totalSeconds = plan.phases.reduce((sum, phase) => sum + phase.seconds, 0);
    const endMs = startedMs + (totalSeconds + plan.drainSeconds) * millisecondsPerSecond;
    while (inFlight > 0 && timers.now() < endMs) {
        await waitFor(timers, drainPollMs);
    }
    const used = process.cpuUsage(processorStart);
    const overhead: ToolOverhead = {
        eventLoopBusy: performance.eventLoopUtilization(loopStart).utilization,
        processorMs: (used.user + used.system) / 1000,
        residentBytes: process.memoryUsage.rss(),
        maxInFlight,
    };
    faults.dispose();
    client.dispose();
    return { plan, seed, outcomes: addUnanswered(arrivals, outcomes, plan), faults: faults.listApplied(), overhead };
}

function makeNotSentResult(): SendResult {
    return {
        kind: OutcomeKind.NotSent,
        status: 0,
        code: undefined,
        verdict: undefined,
        retryAfterSeconds: undefined,
        ticket: undefined,
        firstTokenAtMs: undefined,
        gapsMs: [],
        message: "too many requests in flight at the load tool",
    };
}

/** Adds the requests that had neither ended nor counted as hung when the run ended. */
function addUnanswered(arrivals: readonly Arrival[], outcomes: readonly Outcome[], plan: LoadPlan): readonly Outcome[] {
    const answered = new Set(outcomes.map(outcome => outcome.arrival.index));
    const unanswered = arrivals.filter(arrival => !answered.has(arrival.index)).map((arrival): Outcome => ({
        arrival,
        kind: OutcomeKind.Unanswered,
        rank: plan.streams[arrival.stream]!.rank,
        limitMs: plan.streams[arrival.stream]!.timeLimitMs,
        lagMs: 0,
        firstTokenMs: undefined,
        totalMs: 0,
        gapsMs: [],
        status: 0,
        code: undefined,
        verdict: undefined,
        retryAfterSeconds: undefined,
        hasTicket: false,
        repeats: 0,
        message: undefined,
    }));
    return [...outcomes, ...unanswered];
}
