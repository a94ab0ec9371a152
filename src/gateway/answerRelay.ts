import { AnswerHead } from "../ports/exchange.js";
import { CustomerAnswer } from "./customerAnswer.js";
import { createEventStreamSplitter, EventStreamSplitter } from "./eventStream.js";

/** What a part of an endpoint's answer means for the request. */
export enum AnswerOutcomeKind {
    /** More has to come. */
    Pending = "pending",
    /** Whole events went to the customer. */
    Progress = "progress",
    /** As `Progress`, and the customer takes no more for now. */
    Blocked = "blocked",
    /** The customer has the whole answer. */
    Complete = "complete",
    /** The endpoint states that the request did not run. */
    NotRun = "not-run",
    /** The endpoint failed the request; nothing has gone to the customer. */
    Failed = "failed",
    /** What came is not the answer of this request. */
    Invalid = "invalid",
}

/** What a part of an endpoint's answer means for the request. */
export interface AnswerOutcome {
    readonly kind: AnswerOutcomeKind;
    readonly reason: string;
}

/** Relays the answers of endpoints to one customer, over several attempts. */
export interface AnswerRelay {
    /** Begins with the answer of another dispatch. */
    startAttempt(): void;
    acceptHead(head: AnswerHead, requestId: string): AnswerOutcome;
    acceptData(bytes: Buffer, onDrained: () => void): AnswerOutcome;
    acceptEnd(): AnswerOutcome;
    /** Passes the endpoint's failure on as it came. */
    deliverFailure(): void;
    /** Id of the last event that the customer has, by this request or an earlier one. */
    getLastEventId(): number | undefined;
    countEvents(): number;
}

/** What a relay needs. */
export interface AnswerRelayOptions {
    readonly isStream: boolean;
    readonly answer: CustomerAnswer;
    readonly hasBody: boolean;
    /** Last event that the customer has from an earlier request. */
    readonly resumeAfter: number | undefined;
}

/** Answers up to this size are held until they are whole, so that a broken one can be replaced. */
const maxBufferedBytes = 1024 * 1024;

const pending: AnswerOutcome = { kind: AnswerOutcomeKind.Pending, reason: "" };

/**
 * Creates the relay of one request.
 *
 * @example
 * const outcome = relay.acceptHead(codec.decodeAnswer(200, headers), request.id);
 */
export function createAnswerRelay(options: AnswerRelayOptions): AnswerRelay {
    const { answer } = options;
    let head: AnswerHead | undefined;
    let splitter: EventStreamSplitter = createEventStreamSplitter();
    let lastEventId = options.resumeAfter;
    let eventCount = 0;
    let isAnswerFramed = true;
    let buffered: Buffer[] = [];
    let bufferedBytes = 0;

    function makeInvalid(reason: string): AnswerOutcome {
        return { kind: AnswerOutcomeKind.Invalid, reason };
    }

    function isRelayedAsStream(): boolean {
        return options.isStream && head !== undefined && head.status < 300;
    }

    function startCustomerAnswer(): void {
        if (!answer.isStarted()) {
            answer.start(head!.status, head!.forwarded, head!.isFramed);
            isAnswerFramed = head!.isFramed;
        }
    }

    function acceptEvents(bytes: Buffer, onDrained: () => void): AnswerOutcome {
        const countBefore = splitter.countEvents();
        const events = splitter.add(bytes);
        if (!events) {
            return pending;
        }
        const firstId = splitter.getFirstId();
        if (countBefore === 0 && lastEventId !== undefined && firstId !== undefined && firstId !== lastEventId + 1) {
            return makeInvalid(`the stream goes on at event ${firstId} after event ${lastEventId}`);
        }
        startCustomerAnswer();
        eventCount += splitter.countEvents() - countBefore;
        lastEventId = splitter.getLastId() ?? lastEventId;
        const isReady = answer.write(events, onDrained);
        return { kind: isReady ? AnswerOutcomeKind.Progress : AnswerOutcomeKind.Blocked, reason: "" };
    }

    function acceptUnstreamedData(bytes: Buffer, onDrained: () => void): AnswerOutcome {
        if (answer.isStarted()) {
            return answer.write(bytes, onDrained) ? pending : { kind: AnswerOutcomeKind.Blocked, reason: "" };
        }
        buffered.push(bytes);
        bufferedBytes += bytes.length;
        if (bufferedBytes > maxBufferedBytes) {
            startCustomerAnswer();
            answer.write(Buffer.concat(buffered), onDrained);
            buffered = [];
        }
        return pending;
    }

    function endStream(): AnswerOutcome {
        if (splitter.takeRemainder().length > 0) {
            return makeInvalid("the stream ends within an event");
        }
        startCustomerAnswer();
        if (isAnswerFramed && !head!.isFramed) {
            return makeInvalid("the end of the stream is uncertain");
        }
        answer.end();
        return { kind: AnswerOutcomeKind.Complete, reason: "" };
    }

    /** Framing is passed on, so that an answer of uncertain end does not look certainly whole. */
    function sendBuffered(received: AnswerHead): void {
        if (!answer.isStarted() && received.isFramed) {
            answer.sendWhole(received.status, received.forwarded, Buffer.concat(buffered));
            return;
        }
        if (!answer.isStarted()) {
            startCustomerAnswer();
            answer.write(Buffer.concat(buffered), () => undefined);
        }
        answer.end();
    }

    return {
        startAttempt() {
            head = undefined;
            splitter = createEventStreamSplitter();
            buffered = [];
            bufferedBytes = 0;
        },
        acceptHead(received, requestId) {
            head = received;
            if (received.requestId !== undefined && received.requestId !== requestId) {
                return makeInvalid("the answer names another request");
            }
            if (received.isNotRun) {
                return { kind: AnswerOutcomeKind.NotRun, reason: "" };
            }
            if (received.status < 300 && (!received.isSealed || received.isEncoded)) {
                return makeInvalid("the answer is not the endpoint's own");
            }
            if (answer.isStarted() && received.status >= 300) {
                return makeInvalid(`status ${received.status} to a stream that has begun`);
            }
            return pending;
        },
        acceptData(bytes, onDrained) {
            return isRelayedAsStream() ? acceptEvents(bytes, onDrained) : acceptUnstreamedData(bytes, onDrained);
        },
        acceptEnd() {
            if (!head) {
                return makeInvalid("no head");
            }
            if (isRelayedAsStream()) {
                return endStream();
            }
            if (head.status >= 500 && !answer.isStarted()) {
                return { kind: AnswerOutcomeKind.Failed, reason: `status ${head.status}` };
            }
            sendBuffered(head);
            return { kind: AnswerOutcomeKind.Complete, reason: "" };
        },
        deliverFailure: () => sendBuffered(head!),
        getLastEventId: () => lastEventId,
        countEvents: () => eventCount,
    };
}
