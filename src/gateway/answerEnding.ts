import { ConnectResult } from "../adapters/connections.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { EndpointRecord } from "../ports/endpointRecord.js";
import { EndpointConnections } from "./endpointConnections.js";
import { EndpointNoticeBoard } from "./endpointNoticeBoard.js";

/** What is known of an answer without a length whose connection the endpoint has closed in order. */
export enum AnswerEnding {
    /** The endpoint still accepts connections: it has closed this one itself. */
    Confirmed = "confirmed",
    /** The endpoint leaves or has left, and may have stopped accepting connections before it sent the answer. */
    Leaving = "leaving",
    /** The address does not reply, which tells nothing of the process that closed the connection. */
    Unconfirmed = "unconfirmed",
    /** The process has ended, perhaps within the answer: its system closes connections in order, too. */
    ProcessGone = "process-gone",
}

/** What the decision on an ending rests on. */
export interface EndingEvidence {
    /** Result of a connection attempt that began after the end. */
    readonly connect: ConnectResult;
    /** Whether the endpoint is registered and has not announced that it leaves. */
    readonly isStaying: boolean;
}

/**
 * Decides what is known of an ending. A refused connection shows that a staying endpoint has ended without notice.
 *
 * @example
 * decideAnswerEnding({ connect: ConnectResult.Refused, isStaying: true }); // AnswerEnding.ProcessGone
 */
export function decideAnswerEnding({ connect, isStaying }: EndingEvidence): AnswerEnding {
    switch (connect) {
        case ConnectResult.Accepted:
            return AnswerEnding.Confirmed;
        case ConnectResult.NoAnswer:
            return AnswerEnding.Unconfirmed;
        case ConnectResult.Refused:
            return isStaying ? AnswerEnding.ProcessGone : AnswerEnding.Leaving;
    }
}

/** Finds out whether answers without a length have ended or were cut off by the end of their endpoint. */
export interface AnswerEndings {
    /** Checks the endpoint of an answer that has just ended. Takes the time of a connection attempt. */
    check(requestId: string, endpoint: EndpointRecord): Promise<AnswerEnding>;
}

export interface AnswerEndingsOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly metrics: Metrics;
    readonly connections: Pick<EndpointConnections, "tryConnect">;
    readonly endpointNotices: Pick<EndpointNoticeBoard, "isStaying">;
}

/**
 * Creates the check of endings. Without it, the answer of an endpoint that crashes between two events would be passed on as
 * whole.
 *
 * @example
 * const endings = createAnswerEndings({ timers, log, metrics, connections, endpointNotices });
 * const isCut = await endings.check(request.id, place.endpoint) === AnswerEnding.ProcessGone;
 */
export function createAnswerEndings(options: AnswerEndingsOptions): AnswerEndings {
    const { timers, log, metrics, connections, endpointNotices } = options;
    return {
        async check(requestId, endpoint) {
            const startedAtMs = timers.now();
            // The registration of an endpoint that has ended lapses soon afterwards, like that of one that leaves.
            const isStaying = endpointNotices.isStaying(endpoint);
            const connect = await connections.tryConnect(endpoint.address);
            const ending = decideAnswerEnding({ connect, isStaying });
            log(LogEvent.AnswerEndingChecked, {
                request: requestId,
                endpoint: endpoint.id,
                ending,
                connect,
                isStaying,
                tookMs: Math.round(timers.now() - startedAtMs),
            });
            const help = "Ends of answers without a length, by what is known of them.";
            metrics.count("jujubelane_answer_endings_total", help, { ending });
            return ending;
        },
    };
}
