import { hasAnswerBody } from "../base/answerBody.js";
import { AnswerHead } from "../ports/exchange.js";
import { CustomerAnswer } from "./customerAnswer.js";
import { createEventStreamSplitter, EventStreamSplitter } from "./eventStreamSplitter.js";

/** State of a request after a piece of an endpoint's answer was processed. */
export enum AnswerOutcomeKind {
    /** More data is expected. */
    Pending = "pending",
    /** One or more complete events were written to the customer. */
    Progress = "progress",
    /** The complete answer was written to the customer. */
    Complete = "complete",
    /** The endpoint states that the request did not run. */
    NotRun = "not-run",
    /** The endpoint failed the request; nothing was written to the customer. */
    Failed = "failed",
    /** The data is not a valid answer to this request. */
    Invalid = "invalid",
}

/** Result of processing a piece of an endpoint's answer. */
export interface AnswerOutcome {
    readonly kind: AnswerOutcomeKind;
    readonly reason: string;
}

/** Relays endpoint answers to one customer, across retries of the request. */
export interface AnswerRelay {
    /** Discards the state of the previous attempt and prepares for the answer of the next. */
    startAttempt(): void;
    /** Discards what is held of an answer that is not needed. */
    dropHeld(): void;
    acceptHead(head: AnswerHead, requestId: string): AnswerOutcome;
    acceptData(bytes: Buffer): AnswerOutcome;
    /** Whether the answer marks its end: it has a length, chunks or no body. Otherwise it ends with its connection. */
    isEndMarked(): boolean;
    /** Whether an end after what was received would look like the regular one: it is not within an event. */
    isEndPlausible(): boolean;
    acceptEnd(): AnswerOutcome;
    /** Delivers the endpoint's error answer. */
    deliverFailure(): void;
    /** Whether a further attempt can continue the answer: nothing was sent yet, or what was sent are whole events. */
    canContinue(): boolean;
    /** Returns the id of the last event that was sent to the customer, in this request or an earlier one. */
    getLastEventId(): number | undefined;
    countEvents(): number;
}

export interface AnswerRelayOptions {
    readonly isStream: boolean;
    readonly answer: CustomerAnswer;
    /** Sends a plain answer of the endpoint to the customer, all of whose body was received. */
    readonly deliver: (head: AnswerHead, body: Buffer) => void;
    /** Method of the request. */
    readonly method: string;
    /** Id of the last event that the customer received in an earlier request. */
    readonly resumeAfterEventId: number | undefined;
}

/**
 * Answers up to this size are buffered until they are complete, so that the request can be retried if one is cut off.
 * Also the largest event and the largest error answer: an endpoint in trouble may send bytes without end.
 */
const maxBufferedBytes = 1024 * 1024;

const pending: AnswerOutcome = { kind: AnswerOutcomeKind.Pending, reason: "" };

/**
 * Creates the answer relay of one request.
 *
 * @example
 * const outcome = relay.acceptHead(codec.decodeAnswer(200, headers), request.id);
 */
export function createAnswerRelay(options: AnswerRelayOptions): AnswerRelay {
    const { answer } = options;
    let head: AnswerHead | undefined;
    let splitter: EventStreamSplitter = createEventStreamSplitter();
    let lastEventId = options.resumeAfterEventId;
    let eventCount = 0;
    let buffered: Buffer[] = [];
    let bufferedBytes = 0;
    /** Bytes of this relay that the account of the answer knows of. */
    let reportedBytes = 0;

    /** Reports the bytes that wait for the end of an event or of the answer. */
    function reportHeld(heldBytes: number): void {
        const change = heldBytes - reportedBytes;
        reportedBytes = heldBytes;
        if (change !== 0) {
            answer.account?.changeAssembled(change);
        }
    }

    function dropBuffer(): void {
        buffered = [];
        bufferedBytes = 0;
        reportHeld(0);
    }

    function makeInvalid(reason: string): AnswerOutcome {
        return { kind: AnswerOutcomeKind.Invalid, reason };
    }

    function isRelayedAsStream(): boolean {
        return options.isStream && head !== undefined && head.status < 300;
    }

    function startCustomerAnswer(): void {
        if (!answer.isStarted()) {
            answer.start(head!.status, head!.forwarded);
        }
    }

    function acceptEvents(bytes: Buffer): AnswerOutcome {
        const countBefore = splitter.countEvents();
        const events = splitter.add(bytes);
        reportHeld(splitter.countPendingBytes());
        if (!events) {
            return splitter.countPendingBytes() > maxBufferedBytes
                ? makeInvalid(`no event ends within ${maxBufferedBytes} bytes`)
                : pending;
        }
        const firstId = splitter.getFirstId();
        if (countBefore === 0 && lastEventId !== undefined && firstId !== undefined && firstId !== lastEventId + 1) {
            return makeInvalid(`stream continues at event ${firstId} after event ${lastEventId}`);
        }
        startCustomerAnswer();
        eventCount += splitter.countEvents() - countBefore;
        lastEventId = splitter.getLastId() ?? lastEventId;
        answer.write(events);
        return { kind: AnswerOutcomeKind.Progress, reason: "" };
    }

    function acceptUnstreamedData(bytes: Buffer): AnswerOutcome {
        if (answer.isStarted()) {
            answer.write(bytes);
            return pending;
        }
        buffered.push(bytes);
        bufferedBytes += bytes.length;
        reportHeld(bufferedBytes);
        const isLong = bufferedBytes > maxBufferedBytes;
        if (!isLong && !(answer.account?.isMemoryShort() && head!.status < 300)) {
            return pending;
        }
        if (head!.status >= 300) {
            return makeInvalid(`answer with status ${head!.status} is longer than ${maxBufferedBytes} bytes`);
        }
        startCustomerAnswer();
        sendHeld();
        return pending;
    }

    function sendHeld(): void {
        const held = Buffer.concat(buffered);
        dropBuffer();
        answer.write(held);
    }

    function endStream(): AnswerOutcome {
        if (splitter.takeRemainder().length > 0) {
            return makeInvalid("stream ends in the middle of an event");
        }
        startCustomerAnswer();
        const comments = splitter.takeComments();
        if (comments.length > 0) {
            answer.write(comments);
        }
        answer.end();
        return { kind: AnswerOutcomeKind.Complete, reason: "" };
    }

    /** Sends a plain answer whose end was received. */
    function sendBuffered(received: AnswerHead): void {
        if (answer.isStarted()) {
            answer.end();
            return;
        }
        const body = Buffer.concat(buffered);
        dropBuffer();
        options.deliver(received, body);
    }

    function dropHeld(): void {
        splitter = createEventStreamSplitter();
        dropBuffer();
    }

    return {
        startAttempt() {
            head = undefined;
            dropHeld();
        },
        dropHeld,
        acceptHead(received, requestId) {
            head = received;
            if (received.requestId !== undefined && received.requestId !== requestId) {
                return makeInvalid("answer carries the id of another request");
            }
            if (received.isNotRun) {
                return { kind: AnswerOutcomeKind.NotRun, reason: "" };
            }
            // On a connection in use again, this can be a late copy of an earlier answer.
            if (received.status < 300 && received.requestId === undefined) {
                return makeInvalid("answer carries no request id");
            }
            if (received.status < 300 && (!received.isSealed || received.isEncoded)) {
                return makeInvalid("answer lacks the endpoint's seal or is content-encoded");
            }
            if (answer.isStarted() && received.status >= 300) {
                return makeInvalid(`status ${received.status} for a stream that has already started`);
            }
            return pending;
        },
        acceptData: bytes => isRelayedAsStream() ? acceptEvents(bytes) : acceptUnstreamedData(bytes),
        isEndMarked: () => head !== undefined && (head.isFramed || !hasAnswerBody(options.method, head.status)),
        isEndPlausible: () => head !== undefined && !(isRelayedAsStream() && splitter.hasRemainder()),
        acceptEnd() {
            if (!head) {
                return makeInvalid("answer ended without a status line");
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
        canContinue: () => options.isStream || !answer.isStarted(),
        getLastEventId: () => lastEventId,
        countEvents: () => eventCount,
    };
}
