import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { EndpointAvailability, EndpointDirectory } from "../membership/endpointDirectory.js";
import {
    createFullEndpoints,
    createLeavingEndpoints,
    EndedNotice,
    EndpointIncarnation,
    FullNotice,
    isSuperseded,
    LeavingNotice,
    NoticeSource,
} from "../membership/endpointNotices.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { AnswerHead } from "../ports/exchange.js";
import { EndpointGate } from "./endpointGate.js";
import { PeerNotices } from "./peerNotices.js";

/** What an answer says about its endpoint's readiness for more work. */
export type NoticeAnswer = Pick<AnswerHead, "status" | "isMisdirected" | "isLeaving" | "retryAfterMs" | "answeredBy">;

/** Keeps new work off endpoints that have announced that they leave or are full, and tells the other gateways. */
export interface EndpointNoticeBoard extends EndpointGate, Disposable {
    /**
     * Records what an answer says.
     *
     * @param endpoint the endpoint that the request was sent to, with the incarnation known then
     */
    recordAnswer(endpoint: EndpointRecord, answer: NoticeAnswer): void;
    /** Records what the answer to a call says that names no intended endpoint, such as a memory reservation. */
    recordCallAnswer(address: string, answer: NoticeAnswer): void;
    /** Returns whether all of these endpoints may be sent work now. */
    areOpen(endpoints: readonly EndpointRecord[]): boolean;
    isLeaving(endpoint: EndpointRecord): boolean;
    /** Returns whether the endpoint is registered under its start time and has announced in no way that it leaves. */
    isStaying(endpoint: EndpointRecord): boolean;
    findLeaving(endpoint: EndpointRecord): LeavingNotice | undefined;
    /** Returns what the endpoint has told this gateway or, if nothing, what it has told others. */
    findFull(endpoint: EndpointRecord, nowMs: number): FullNotice | undefined;
    /**
     * Returns whether all endpoints of a service leave, or have left within the last 30 s, so that a request would wait in
     * vain.
     */
    isServiceLeaving(service: string): boolean;
    countLeaving(): number;
    countFull(): number;
}

export interface EndpointNoticeBoardOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly directory: Pick<EndpointDirectory, "find" | "listAll">;
    readonly notices: PeerNotices;
    /** Called when endpoints have begun to leave or are full. */
    readonly onChange: () => void;
}

/** Kind of notice, as logged; also the topics' names on the wire. */
enum NoticeKind {
    Leaving = "leaving",
    Full = "full",
}

/** Endpoint, start time, and age (leaving) or remaining time (full), in milliseconds. */
type WireNotice = readonly [string, number | null, number];

/** Longest time for which an endpoint counts as full after one answer, in milliseconds. */
const maxFullMs = 60_000;
/** Refusals that are remembered, so that each is logged once for each endpoint. */
const maxLogged = 1_024;
/** Longest endpoint id in a notice. */
const maxIdLength = 256;
const refreshIntervalMs = 250;

function isWireNotice(value: unknown): value is WireNotice {
    if (!Array.isArray(value) || value.length < 3) {
        return false;
    }
    const [endpoint, startedAtMs, durationMs] = value as unknown[];
    return typeof endpoint === "string" && endpoint.length > 0 && endpoint.length <= maxIdLength
        && (startedAtMs === null || Number.isSafeInteger(startedAtMs))
        && typeof durationMs === "number" && Number.isFinite(durationMs) && durationMs >= 0;
}

function makeIncarnation({ id, startedAtMs }: EndpointRecord): EndpointIncarnation {
    return { endpoint: id, startedAtMs };
}

/**
 * Creates a board without notices, and registers the topics `leaving` and `full`.
 *
 * @example
 * const board = createEndpointNoticeBoard({ timers, log, directory, notices: exchange.notices, onChange });
 * board.recordAnswer(place.endpoint, answerHead);
 * board.isOpen(place.endpoint, timers.now()); // false if the answer said that the endpoint leaves
 */
export function createEndpointNoticeBoard(options: EndpointNoticeBoardOptions): EndpointNoticeBoard {
    const { timers, log, directory, notices, onChange } = options;
    const leaving = createLeavingEndpoints();
    /** Endpoints that have told this gateway that they are full. */
    const full = createFullEndpoints();
    /** Endpoints that have told other gateways. */
    const fullElsewhere = createFullEndpoints();
    const logged = new Set<string>();

    const leavingPublisher = notices.register<WireNotice>({
        name: NoticeKind.Leaving,
        isForAllCells: true,
        isValid: isWireNotice,
        onReceived(values) {
            const nowMs = timers.now();
            const isNew = values.map(([endpoint, startedAtMs, ageMs]) =>
                recordLeaving({
                    endpoint,
                    startedAtMs: startedAtMs ?? undefined,
                    source: NoticeSource.Gateway,
                    observedAtMs: nowMs - ageMs,
                })
            );
            if (isNew.includes(true)) {
                onChange();
            }
        },
        listCurrent: () => leaving.listCurrent(timers.now()).map(encodeLeaving),
    });
    const fullPublisher = notices.register<WireNotice>({
        name: NoticeKind.Full,
        // Only the gateways of a cell use its endpoints.
        isForAllCells: false,
        isValid: isWireNotice,
        onReceived: values =>
            values.forEach(([endpoint, startedAtMs, remainingMs]) =>
                recordFull({ endpoint, startedAtMs: startedAtMs ?? undefined }, remainingMs, NoticeSource.Gateway)
            ),
        listCurrent: () => full.list().map(notice => encodeFull(notice, notice.untilMs)),
    });
    const refreshTimer = timers.subscribe(refreshIntervalMs, refresh);

    function encodeLeaving({ endpoint, startedAtMs, observedAtMs }: LeavingNotice): WireNotice {
        return [endpoint, startedAtMs ?? null, Math.max(0, Math.round(timers.now() - observedAtMs))];
    }

    function encodeFull({ endpoint, startedAtMs }: EndpointIncarnation, untilMs: number): WireNotice {
        return [endpoint, startedAtMs ?? null, Math.max(0, Math.round(untilMs - timers.now()))];
    }

    function findRegistered(endpoint: string): EndpointRecord | undefined {
        return directory.find(endpoint)?.record;
    }

    function logBegin(kind: NoticeKind, source: NoticeSource, subject: EndpointIncarnation, inputs: object): void {
        log(LogEvent.EndpointNoticeBegan, { notice: kind, ...subject, source, ...inputs });
    }

    function logEnds(kind: NoticeKind, ended: readonly EndedNotice<LeavingNotice>[]): void {
        ended.forEach(({ notice, end }) =>
            log(LogEvent.EndpointNoticeEnded, {
                notice: kind,
                endpoint: notice.endpoint,
                startedAtMs: notice.startedAtMs,
                source: notice.source,
                ageMs: Math.round(timers.now() - notice.observedAtMs),
                end,
            })
        );
    }

    /** Logs a value that is not used as it is, once for each endpoint. */
    function logRefusal(endpoint: string, reason: string, value: number | string): void {
        const key = `${reason} ${endpoint}`;
        if (!logged.has(key) && logged.size < maxLogged) {
            logged.add(key);
            log(LogEvent.EndpointNoticeRefused, { endpoint, reason, value });
        }
    }

    /** Returns whether the notice is new. */
    function recordLeaving(notice: LeavingNotice): boolean {
        const registered = findRegistered(notice.endpoint);
        if (isSuperseded(notice, registered)) {
            return false;
        }
        const { isNew, ended } = leaving.record({ ...notice, service: registered?.service });
        logEnds(NoticeKind.Leaving, ended);
        if (isNew) {
            const { endpoint, startedAtMs, source, observedAtMs } = notice;
            logBegin(NoticeKind.Leaving, source, { endpoint, startedAtMs }, {
                ageMs: Math.round(timers.now() - observedAtMs),
            });
        }
        return isNew;
    }

    function recordOwnLeaving(subject: EndpointIncarnation): void {
        const notice: LeavingNotice = { ...subject, source: NoticeSource.Answer, observedAtMs: timers.now() };
        if (recordLeaving(notice)) {
            leavingPublisher.publish([encodeLeaving(notice)]);
            onChange();
        }
    }

    function recordFull(subject: EndpointIncarnation, remainingMs: number, source: NoticeSource): void {
        const nowMs = timers.now();
        const untilMs = nowMs + Math.min(maxFullMs, remainingMs);
        if (untilMs <= nowMs) {
            return;
        }
        const kept = source === NoticeSource.Answer ? full : fullElsewhere;
        const { isNew, ended } = kept.record({ ...subject, source, observedAtMs: nowMs, untilMs });
        logEnds(NoticeKind.Full, ended);
        if (isNew) {
            logBegin(NoticeKind.Full, source, subject, { forMs: Math.round(untilMs - nowMs) });
        }
    }

    function recordRetryAfter(subject: EndpointIncarnation, retryAfterMs: number): void {
        if (!(retryAfterMs >= 0)) {
            logRefusal(subject.endpoint, "unusable retry-after", String(retryAfterMs));
            return;
        }
        if (retryAfterMs > maxFullMs) {
            logRefusal(subject.endpoint, "retry-after above 60 s counts as 60 s", retryAfterMs);
        }
        recordFull(subject, retryAfterMs, NoticeSource.Answer);
        const untilMs = full.getUntilMs(subject);
        if (untilMs > timers.now()) {
            fullPublisher.publish([encodeFull(subject, untilMs)]);
            onChange();
        }
    }

    function recordAnswer(endpoint: EndpointRecord, answer: NoticeAnswer): void {
        if (answer.isLeaving) {
            // An endpoint at the address of another one speaks of itself.
            const subject = answer.isMisdirected ? findRegistered(answer.answeredBy ?? "") : endpoint;
            if (subject) {
                recordOwnLeaving(makeIncarnation(subject));
            }
            else {
                logRefusal(endpoint.id, "answer of an unknown endpoint", answer.answeredBy ?? "");
            }
        }
        if (answer.status === 503 && answer.retryAfterMs !== undefined) {
            recordRetryAfter(makeIncarnation(endpoint), answer.retryAfterMs);
        }
    }

    function isLeaving(endpoint: EndpointRecord): boolean {
        return leaving.has(makeIncarnation(endpoint));
    }

    function isStaying(endpoint: EndpointRecord): boolean {
        const known = directory.find(endpoint.id);
        return known?.availability === EndpointAvailability.Ready
            && known.record.startedAtMs === endpoint.startedAtMs && !isLeaving(endpoint);
    }

    function isOpen(endpoint: EndpointRecord, nowMs: number): boolean {
        return !isLeaving(endpoint) && full.getUntilMs(makeIncarnation(endpoint)) <= nowMs;
    }

    function refresh(): void {
        const nowMs = timers.now();
        logEnds(NoticeKind.Leaving, leaving.refresh(findRegistered, nowMs));
        logEnds(NoticeKind.Full, [...full.expire(nowMs), ...fullElsewhere.expire(nowMs)]);
    }

    return {
        recordAnswer,
        recordCallAnswer(address, answer) {
            const found = directory.listAll().filter(({ record }) => record.address === address);
            // Two registrations with one address are an endpoint and its successor; the answer may be of either.
            if (found.length === 1) {
                recordAnswer(found[0]!.record, answer);
            }
        },
        isLeaving,
        isStaying,
        findLeaving: endpoint => leaving.find(makeIncarnation(endpoint)),
        findFull: (endpoint, nowMs) =>
            [full, fullElsewhere].map(kept => kept.find(makeIncarnation(endpoint)))
                .find(notice => notice !== undefined && notice.untilMs > nowMs),
        isServiceLeaving(service) {
            const registered = directory.listAll().filter(({ record }) => record.service === service);
            const areAllLeaving = registered.every(({ record, availability }) =>
                availability === EndpointAvailability.Draining || isLeaving(record)
            );
            return areAllLeaving
                && (registered.length > 0
                    || leaving.listCurrent(timers.now()).some(notice => notice.service === service));
        },
        isOpen,
        areOpen: endpoints => endpoints.every(endpoint => isOpen(endpoint, timers.now())),
        isLastChoice: (endpoint, nowMs) => fullElsewhere.getUntilMs(makeIncarnation(endpoint)) > nowMs,
        getOpensInMs: (endpoint, nowMs) =>
            isLeaving(endpoint)
                ? Number.POSITIVE_INFINITY
                : Math.max(0, full.getUntilMs(makeIncarnation(endpoint)) - nowMs),
        countLeaving: () => leaving.count(),
        countFull: () => full.count(),
        dispose: () => refreshTimer.dispose(),
    };
}
