import { isRefusalStatus } from "../../src/retries/finalStatus.js";
import { RequestEnd } from "./customerConnection.js";
import { CutEndpoint, Ending } from "./cutEndpoint.js";

/** One request of a kill soak as its customer saw it. */
export interface KillOutcome extends RequestEnd {
    readonly id: string;
    readonly path: string;
    readonly gateway: string;
    readonly mayRepeat: boolean;
    /** Whole body of its answer. */
    readonly body: string;
}

/** A time in which a gateway was disturbed, in milliseconds since the process started. */
export interface Disturbance {
    readonly gateway: string;
    readonly fromMs: number;
    untilMs: number;
}

/** What the outcomes of a run add up to. */
export interface KillSummary {
    readonly answered: number;
    readonly cut: number;
    readonly refused: number;
    readonly failed: number;
    readonly violations: readonly string[];
}

/** Time around the crash of an endpoint in which it may affect a request, in milliseconds. */
const crashEffectMs = 2_000;

/** Checks every outcome against the whole body of its answer and against what the endpoints did. */
export function summarizeKills(
    outcomes: readonly KillOutcome[],
    endpoints: readonly CutEndpoint[],
    disturbances: readonly Disturbance[],
): KillSummary {
    const violations: string[] = [];
    const counts = { answered: 0, cut: 0, refused: 0, failed: 0 };
    const crashesAtMs = endpoints.flatMap(endpoint => endpoint.crashesAtMs);

    function isUndisturbed({ gateway, sentAtMs, endedAtMs }: KillOutcome): boolean {
        return disturbances.every(item =>
            item.gateway !== gateway || item.untilMs < sentAtMs || item.fromMs > endedAtMs
        )
            && crashesAtMs.every(atMs => atMs < sentAtMs - crashEffectMs || atMs > endedAtMs);
    }

    for (const outcome of outcomes) {
        const { id, answer, body, path, gateway, sentAtMs, endedAtMs, hasBegun } = outcome;
        const runs = endpoints.flatMap(endpoint => endpoint.runs).filter(run => run.requestId === id);
        const check = (holds: boolean, invariant: string) => {
            if (!holds) {
                violations.push(
                    `${invariant}: ${id} ${path} at ${gateway}, ${Math.round(sentAtMs)} to ${
                        Math.round(endedAtMs)
                    } ms, `
                        + `status ${answer?.status}, ${answer?.body.length} of ${body.length} bytes, `
                        + `runs ${runs.map(run => run.ending).join()}`,
                );
            }
        };
        check(outcome.mayRepeat || runs.length <= 1, "a request that must not be repeated runs once at most");
        if (!answer) {
            counts.cut += 1;
            const isSound = runs.length > 0 && runs.every(run => run.ending === Ending.Whole);
            check(!(hasBegun && isSound && isUndisturbed(outcome)), "a whole answer is not broken off");
        }
        else if (answer.status === 200) {
            counts.answered += 1;
            check(answer.body === body, "an answer that looks whole is whole");
        }
        else if (isRefusalStatus(answer.status)) {
            counts.refused += 1;
            check(runs.length === 0, "a request that was refused as not run did not run");
        }
        else {
            counts.failed += 1;
        }
    }
    return { ...counts, violations };
}
