import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { ErrorCode } from "../base/requestError.js";
import { TimerService } from "../base/timerService.js";
import { Verdict } from "../base/verdict.js";
import { DispatchMessage, LinkMessageType, SidecarMessage } from "../link/messages.js";
import { LoadReport } from "../routing/loadReport.js";
import { AdmitDecision, AdmitKind, Scheduler, WorkItem } from "../scheduling/scheduler.js";
import { createStartedRequests } from "./startedRequests.js";
import { createTombstones } from "./tombstones.js";
import { Work, WorkListener, WorkRunner, WorkState } from "./work.js";

/** Why a dispatch is not accepted. */
export interface DispatchRefusal {
    readonly code: ErrorCode;
    readonly message: string;
    readonly retryAfterMs?: number;
}

/** Dependencies and settings of a work table. */
export interface WorkTableParts {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly scheduler: Scheduler;
    readonly runner: WorkRunner;
    /** Time that an ended request is kept if the entry does not acknowledge its end, in milliseconds. */
    readonly retainEndedMs: number;
    send(session: string, message: SidecarMessage): void;
    makeLoad(): LoadReport;
    /** Checks a dispatch before it is queued. */
    checkDispatch(dispatch: DispatchMessage): DispatchRefusal | undefined;
    /** Creates the listener of a request that is starting. Its events return through the sidecar's mailbox. */
    makeListener(work: Work): WorkListener;
    /** Called when a request has ended, was removed from the queue without running, or is no longer kept. */
    handleSettled(): void;
}

/** The requests that one sidecar holds, from their dispatch to the acknowledgement of their end. */
export interface WorkTable extends Disposable {
    handleDispatch(session: string, dispatch: DispatchMessage): void;
    handleCancel(session: string, request: string): void;
    handleResume(session: string, request: string, fromSequence: number): void;
    handleAcknowledge(request: string): void;
    handleSessionLost(session: string): void;
    handleItems(work: Work, items: readonly string[]): void;
    handleEnd(work: Work, messages: readonly SidecarMessage[], outputTokens: number): void;
    /** Starts the requests that the scheduler selects. */
    startWork(): void;
    /** Refuses queued requests that can no longer meet their time limit. */
    expire(): void;
    /** Returns the number of requests that are queued or running, or whose end the entry has not acknowledged. */
    countHeld(): number;
    listActive(): readonly Work[];
    /** Takes over a request that an earlier process started and that the engine still holds. */
    acceptInherited(session: string, request: string): void;
    /**
     * Refuses all queued requests. With a fingerprint, refuses only queued requests that have it and cancels running
     * requests that have it.
     */
    refuseQueuedWork(refusal: DispatchRefusal, fingerprint?: string): void;
}

/**
 * Creates the table of a sidecar's requests.
 *
 * @example
 * const table = createWorkTable(parts);
 * table.handleDispatch(session, dispatch);
 */
export function createWorkTable(parts: WorkTableParts): WorkTable {
    const { timers, log, scheduler } = parts;
    const send = (session: string, message: SidecarMessage) => parts.send(session, message);
    const workById = new Map<string, Work>();
    const tombstones = createTombstones();
    const started = createStartedRequests();

    function refuse(session: string, request: string, refusal: Omit<RejectedFields, "type" | "request">) {
        log(LogEvent.WorkRefused, { request, code: refusal.code, message: refusal.message });
        send(session, { type: LinkMessageType.Rejected, request, ...refusal });
    }

    function checkDispatch(dispatch: DispatchMessage): DispatchRefusal | undefined {
        if (tombstones.take(dispatch.request)) {
            return { code: ErrorCode.Cancelled, message: "the request was cancelled before its dispatch arrived" };
        }
        return parts.checkDispatch(dispatch);
    }

    function handleDispatch(session: string, dispatch: DispatchMessage) {
        if (workById.has(dispatch.request)) {
            return;
        }
        const refusal = checkDispatch(dispatch);
        if (refusal) {
            refuse(session, dispatch.request, refusal);
            return;
        }
        const item = makeWorkItem(dispatch, timers.now());
        const decision = scheduler.admit(item, timers.now());
        if (decision.kind === AdmitKind.Refused) {
            refuse(session, item.id, pickRefusal(decision));
            return;
        }
        workById.set(item.id, {
            dispatch,
            item,
            session,
            state: WorkState.Queued,
            priority: 0,
            output: [],
            endMessages: [],
            run: undefined,
            inherited: false,
            retentionTimer: undefined,
        });
        const { rank, customer } = item;
        log(LogEvent.WorkQueued, { request: item.id, rank, customer, position: decision.position });
        send(session, { type: LinkMessageType.Queued, request: item.id, position: decision.position });
        for (const dropped of decision.dropped) {
            const retryAfterMs = decision.droppedRetryAfterMs;
            refuseQueued(dropped, {
                code: ErrorCode.Overloaded,
                message: "dropped because the queue is full",
                retryAfterMs,
            });
        }
        startWork();
    }

    function refuseQueued(item: WorkItem, refusal: DispatchRefusal) {
        const work = workById.get(item.id);
        if (work) {
            workById.delete(item.id);
            refuse(work.session, item.id, refusal);
            parts.handleSettled();
        }
    }

    function startWork() {
        for (const item of scheduler.takeNext(timers.now())) {
            const work = workById.get(item.id);
            if (!work) {
                scheduler.complete(item.id, 0, timers.now());
                continue;
            }
            work.state = WorkState.Running;
            started.record(item.id);
            const waitedMs = timers.now() - item.arrivedMs;
            log(LogEvent.WorkStarted, { request: item.id, rank: item.rank, customer: item.customer, waitedMs });
            work.priority = scheduler.getPriority(item);
            work.run = parts.runner(work, parts.makeListener(work));
        }
    }

    function handleItems(work: Work, items: readonly string[]) {
        if (work.state !== WorkState.Running) {
            return;
        }
        const sequence = work.output.length;
        work.output.push(...items);
        send(work.session, { type: LinkMessageType.Chunk, request: work.item.id, sequence, items });
        if (sequence === 0 && !work.inherited) {
            scheduler.markFirstToken(work.item.id, timers.now());
            startWork();
        }
    }

    function handleEnd(work: Work, messages: readonly SidecarMessage[], outputTokens: number) {
        if (work.state === WorkState.Ended) {
            return;
        }
        work.state = WorkState.Ended;
        work.endMessages.push(...messages);
        if (!work.inherited) {
            scheduler.complete(work.item.id, outputTokens, timers.now());
        }
        log(LogEvent.WorkEnded, { request: work.item.id, outputTokens });
        const load = parts.makeLoad();
        for (const message of messages) {
            send(work.session, message.type === LinkMessageType.End ? { ...message, load } : message);
        }
        work.retentionTimer = timers.schedule(parts.retainEndedMs, () => forget(work));
        startWork();
        parts.handleSettled();
    }

    function forget(work: Work) {
        work.retentionTimer?.dispose();
        workById.delete(work.item.id);
        parts.handleSettled();
    }

    function isHeld(work: Work): boolean {
        // An entry acknowledges an end but not a rejection.
        return work.state !== WorkState.Ended || work.endMessages.some(message => message.type === LinkMessageType.End);
    }

    function handleCancel(session: string, request: string) {
        const work = workById.get(request);
        let verdict = Verdict.MayHaveRun;
        if (work?.state === WorkState.Queued || (!work && started.isNotStarted(request))) {
            verdict = Verdict.NotRun;
            log(LogEvent.DispatchTombstoned, { request });
            tombstones.add(request);
            removeQueued(work);
        }
        work?.run?.cancel();
        send(session, { type: LinkMessageType.CancelResult, request, verdict });
    }

    function removeQueued(work: Work | undefined) {
        if (work) {
            scheduler.remove(work.item.id);
            workById.delete(work.item.id);
            parts.handleSettled();
        }
    }

    function handleResume(session: string, request: string, fromSequence: number) {
        const work = workById.get(request);
        if (!work) {
            const isNotStarted = started.isNotStarted(request);
            if (isNotStarted) {
                // The entry has reconnected, and a dispatch of this request may still arrive from the old connection.
                tombstones.add(request);
            }
            const verdict = isNotStarted ? Verdict.NotRun : Verdict.MayHaveRun;
            send(session, { type: LinkMessageType.ResumeState, request, known: false, verdict });
            return;
        }
        send(session, { type: LinkMessageType.ResumeState, request, known: true, verdict: Verdict.MayHaveRun });
        const items = work.output.slice(fromSequence);
        if (items.length > 0) {
            send(session, { type: LinkMessageType.Chunk, request, sequence: fromSequence, items });
        }
        for (const message of work.endMessages) {
            send(session, message);
        }
    }

    function acceptInherited(session: string, request: string) {
        if (workById.has(request)) {
            return;
        }
        const dispatch = makeInheritedDispatch(request);
        const work: Work = {
            dispatch,
            item: makeWorkItem(dispatch, timers.now()),
            session,
            state: WorkState.Running,
            priority: 0,
            output: [],
            endMessages: [],
            run: undefined,
            inherited: true,
            retentionTimer: undefined,
        };
        workById.set(request, work);
        started.record(request);
        log(LogEvent.WorkResumed, { request });
        work.run = parts.runner(work, parts.makeListener(work));
    }

    function refuseQueuedWork(refusal: DispatchRefusal, fingerprint?: string) {
        const affected = [...workById.values()]
            .filter(work => fingerprint === undefined || work.item.fingerprint === fingerprint);
        for (const work of affected) {
            if (work.state === WorkState.Queued) {
                scheduler.remove(work.item.id);
                refuseQueued(work.item, refusal);
            }
            else if (work.state === WorkState.Running && fingerprint !== undefined) {
                work.run?.cancel();
            }
        }
    }

    function listActive(): readonly Work[] {
        return [...workById.values()].filter(work => work.state !== WorkState.Ended);
    }

    function handleSessionLost(session: string) {
        for (const work of [...workById.values()].filter(candidate => candidate.session === session)) {
            if (work.state === WorkState.Queued) {
                removeQueued(work);
            }
            else if (work.state === WorkState.Running) {
                work.run?.cancel();
            }
            else {
                forget(work);
            }
        }
    }

    return {
        handleDispatch,
        handleCancel,
        handleResume,
        handleAcknowledge(request) {
            const work = workById.get(request);
            if (work?.state === WorkState.Ended) {
                forget(work);
            }
        },
        handleSessionLost,
        handleItems,
        handleEnd,
        startWork,
        expire() {
            for (const item of scheduler.expire(timers.now())) {
                refuseQueued(item, { code: ErrorCode.TimedOut, message: "the time limit cannot be met in the queue" });
            }
        },
        countHeld: () => [...workById.values()].filter(isHeld).length,
        listActive,
        acceptInherited,
        refuseQueuedWork,
        dispose() {
            for (const work of workById.values()) {
                work.retentionTimer?.dispose();
            }
        },
    };
}

type RejectedFields = Extract<SidecarMessage, { type: LinkMessageType.Rejected }>;

/** Longest time limit of a request. It stands in for the unknown limit, which the entry and the engine enforce. */
const maxTimeLimitMs = 24 * 60 * 60 * 1000;

/** Builds a placeholder for the dispatch that an earlier process received. Only the request's id is known. */
function makeInheritedDispatch(request: string): DispatchMessage {
    return {
        type: LinkMessageType.Dispatch,
        request,
        incarnation: "",
        customer: "",
        rank: "",
        kind: "",
        remainingMs: maxTimeLimitMs,
        waitedMs: 0,
        fingerprint: "",
        attempt: 0,
    };
}

function makeWorkItem(dispatch: DispatchMessage, nowMs: number): WorkItem {
    return {
        id: dispatch.request,
        rank: dispatch.rank,
        customer: dispatch.customer,
        kind: dispatch.kind,
        promptTokens: dispatch.model?.promptTokens ?? 1,
        cachedTokens: 0,
        maxOutputTokens: dispatch.model?.maxOutputTokens ?? 0,
        arrivedMs: nowMs - dispatch.waitedMs,
        deadlineMs: nowMs + dispatch.remainingMs,
        bodyBytes: dispatch.model?.prompt.length ?? dispatch.service?.body.length ?? 0,
        fingerprint: dispatch.fingerprint,
    };
}

function pickRefusal(decision: Extract<AdmitDecision, { kind: AdmitKind.Refused }>) {
    const { code, message, retryAfterMs, largestPromptTokens } = decision;
    return { code, message, retryAfterMs, largestPromptTokens };
}
