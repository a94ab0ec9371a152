import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualTimerService } from "../../src/base/manualTimerService.js";
import { ErrorCode } from "../../src/base/requestError.js";
import { Verdict } from "../../src/base/verdict.js";
import { DispatchMessage, LinkMessageType, SidecarMessage } from "../../src/link/messages.js";
import { createFirstComeScheduler } from "../../src/scheduling/firstComeScheduler.js";
import { WorkListener } from "../../src/sidecar/work.js";
import { createWorkTable, WorkTable } from "../../src/sidecar/workTable.js";
import { checkInterleavings } from "../support/fuzz.js";

const seed = 20_261_204;
const runs = 2_000;
const requestCount = 4;
const session = "entry-1/a";

/** A message to a sidecar or an event in it. Messages of one request may arrive in any order. */
enum StepKind {
    Dispatch = "dispatch",
    Cancel = "cancel",
    Resume = "resume",
    Acknowledge = "acknowledge",
    End = "end",
    SessionLost = "session-lost",
    /** The process is paused, so that time passes before the next message. */
    Pause = "pause",
    /** The process is killed and replaced by a new one. */
    Restart = "restart",
    Leave = "leave",
}

interface Step {
    readonly kind: StepKind;
    readonly request: number;
}

const step: fc.Arbitrary<Step> = fc.record({
    kind: fc.oneof(
        { arbitrary: fc.constantFrom(StepKind.Dispatch, StepKind.Cancel, StepKind.Resume, StepKind.End), weight: 8 },
        { arbitrary: fc.constantFrom(StepKind.Acknowledge, StepKind.Pause), weight: 2 },
        { arbitrary: fc.constantFrom(StepKind.SessionLost, StepKind.Restart, StepKind.Leave), weight: 1 },
    ),
    request: fc.nat(requestCount - 1),
});

function makeDispatch(request: string, incarnation: string): DispatchMessage {
    return {
        type: LinkMessageType.Dispatch,
        request,
        incarnation,
        customer: "kiosk",
        rank: "urgent",
        kind: "question",
        remainingMs: 1_000,
        waitedMs: 0,
        fingerprint: request,
        attempt: 1,
    };
}

/** Returns the request that a message certifies as not run, or `undefined` if it certifies none. */
function findNotRun(message: SidecarMessage): string | undefined {
    const isNotRun = message.type === LinkMessageType.Rejected
        || ((message.type === LinkMessageType.CancelResult || message.type === LinkMessageType.ResumeState)
            && message.verdict === Verdict.NotRun);
    return isNotRun && "request" in message ? message.request : undefined;
}

/**
 * Runs steps against real work tables, one per incarnation of the sidecar. Fails if a request that was certified as not
 * run has been started or is started later, so that a retry of it would run twice.
 */
function runSteps(steps: readonly Step[]): string {
    const timers = createManualTimerService();
    const started = new Map<string, string>();
    const running = new Map<string, WorkListener>();
    const certified = new Map<string, string>();
    const dispatchedTo = new Map<string, string>();
    const trace: string[] = [];
    let incarnation = 0;
    let leaving = false;

    function check(request: string) {
        // The entry accepts a certificate only from the incarnation that its dispatch names.
        const by = certified.get(request);
        const isValid = by !== undefined && by === (dispatchedTo.get(request) ?? by);
        assert.ok(!isValid || !started.has(request), `${request} was certified as not run and ran`);
    }

    function createTable(name: string): WorkTable {
        return createWorkTable(
            {
                timers,
                log: () => undefined,
                scheduler: createFirstComeScheduler({
                    ranks: [],
                    capacity: {
                        memoryTokens: 100,
                        prefillTokensPerSecond: 1,
                        decodeTokensPerSecond: 1,
                        maxRunning: 1,
                    },
                    cost: () => 1,
                    maxQueuedRequests: 2,
                    maxQueuedBytes: 1_000,
                }),
                retainEndedMs: 500,
                send(to, message) {
                    const request = findNotRun(message);
                    trace.push(`${message.type} ${request ?? ""}`);
                    if (request !== undefined) {
                        certified.set(request, name);
                        check(request);
                    }
                },
                makeLoad: () => ({}) as never,
                checkDispatch(dispatch) {
                    if (dispatch.incarnation !== name) {
                        return { code: ErrorCode.StaleIncarnation, message: "stale" };
                    }
                    return leaving ? { code: ErrorCode.Leaving, message: "leaving" } : undefined;
                },
                makeListener: work => ({
                    handleItems: () => undefined,
                    handleEnd: (messages, tokens) => table.handleEnd(work, messages, tokens),
                }),
                runner(work, listener) {
                    const request = work.item.id;
                    assert.ok(!started.has(request), `${request} was started twice`);
                    started.set(request, name);
                    running.set(request, listener);
                    check(request);
                    return { cancel: () => undefined };
                },
                handleSettled: () => undefined,
            },
        );
    }

    let table = createTable("s0");
    for (const { kind, request: index } of steps) {
        const request = `0193a5b0-0000-7000-8000-00000000000${index}.1`;
        switch (kind) {
            case StepKind.Dispatch:
                // Each request id is dispatched once. The dispatch names the incarnation that the entry knew then.
                if (!dispatchedTo.has(request)) {
                    dispatchedTo.set(request, certified.get(request) ?? `s${incarnation}`);
                    table.handleDispatch(session, makeDispatch(request, dispatchedTo.get(request)!));
                }
                break;
            case StepKind.Cancel:
                table.handleCancel(session, request);
                break;
            case StepKind.Resume:
                table.handleResume(session, request, 0);
                break;
            case StepKind.Acknowledge:
                table.handleAcknowledge(request);
                break;
            case StepKind.End: {
                const end = { type: LinkMessageType.End, request, verdict: Verdict.Ran, tokens: 0 } as const;
                running.get(request)?.handleEnd([end], 0);
                running.delete(request);
                break;
            }
            case StepKind.SessionLost:
                table.handleSessionLost(session);
                break;
            case StepKind.Pause:
                timers.advance(700);
                table.expire();
                break;
            case StepKind.Restart:
                incarnation++;
                running.clear();
                table = createTable(`s${incarnation}`);
                break;
            case StepKind.Leave:
                leaving = true;
                break;
        }
        trace.push(`${kind} ${index}`);
    }
    return trace.join("\n");
}

test("no order of dispatch, cancel, resume, end, pause and restart makes a not-run verdict false", async t => {
    const steps = fc.array(step, { minLength: 2, maxLength: 24 });
    const count = await checkInterleavings(steps, async value => runSteps(value), { seed, runs });
    t.diagnostic(`seed ${seed}: ${count} different interleavings in ${runs} runs`);
});
