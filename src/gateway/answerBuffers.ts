import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { Metrics } from "../base/metrics.js";
import { TimerService } from "../base/timerService.js";
import { HeldAnswer, selectAnswersToEnd } from "../scheduling/answerMemory.js";

/** Counts the bytes that the gateway holds of all answers, and ends answers that hold too many. */
export interface AnswerBuffers {
    /**
     * Opens the account of an answer.
     *
     * @param onDropped called when the answer must end, with the reason; its bytes must be released then
     */
    open(requestId: string, onDropped: (reason: string) => void): AnswerAccount;
}

/** Bytes that the gateway holds of one answer. */
export interface AnswerAccount {
    /** Records bytes that have been received and wait for the customer. */
    addUnread(bytes: number): void;
    /** Records that the customer's connection has taken bytes. */
    recordRead(bytes: number): void;
    /** Adds to the number of bytes that are assembled before any of them is sent to the customer. */
    changeAssembled(bytes: number): void;
    /** Records that the endpoint has sent all of the answer. */
    complete(): void;
    /** Whether more may be received now. If not, `onRoom` is called as soon as it may. */
    waitForRoom(onRoom: () => void): boolean;
    /** Whether answers hold so much that this one should be sent before it is complete. */
    isMemoryShort(): boolean;
    close(): void;
}

/**
 * Bytes of one answer from which on no more are received from its endpoint. A piece of up to 64 KiB may still be under way
 * then, and the bound for each answer is 1 MiB.
 */
const maxAnswerBytes = 896 * 1024;
/**
 * Time after which an answer ends whose customer reads nothing while no more is received, in milliseconds. Endpoints abort
 * answers that stay unread for some seconds, which looks like a crash of the endpoint.
 */
const maxUnreadMs = 3_000;
/** Share of the bound from which on answers are no longer assembled, as this keeps them from customers who would read them. */
const assemblyShare = 0.75;

/** An open account, as the decision sees it. */
interface OpenAnswer extends HeldAnswer {
    drop(reason: string): void;
}

/**
 * Creates the accounts of one gateway.
 *
 * @param maxBytes bound for all answers together
 *
 * @example
 * const account = buffers.open("request-1", reason => answer.abort());
 * account.addUnread(bytes.length);
 */
export function createAnswerBuffers(
    options: {
        readonly timers: TimerService;
        readonly log: EventLog;
        readonly metrics: Metrics;
        readonly maxBytes: number;
    },
): AnswerBuffers {
    const { timers, log, metrics, maxBytes } = options;
    const accounts = new Map<AnswerAccount, () => OpenAnswer>();
    let totalBytes = 0;
    let behind = 0;

    function endExcess(): void {
        if (totalBytes > maxBytes) {
            selectAnswersToEnd([...accounts.values()].map(describe => describe()), maxBytes)
                .forEach(answer => answer.drop("all answers hold too much"));
        }
    }

    function open(requestId: string, onDropped: (reason: string) => void): AnswerAccount {
        let unreadBytes = 0;
        let assembledBytes = 0;
        let readBytes = 0;
        let behindSinceMs = 0;
        let lastReadAtMs = 0;
        let isComplete = false;
        let onRoom: (() => void) | undefined;
        let unreadTimer: Disposable | undefined;

        function describe(): OpenAnswer {
            const nowMs = timers.now();
            const isAssembling = unreadBytes === 0;
            return {
                heldBytes: unreadBytes + assembledBytes,
                isAssembling,
                isComplete,
                behindMs: isAssembling ? 0 : nowMs - behindSinceMs,
                readBytes,
                unreadMs: isAssembling ? 0 : nowMs - lastReadAtMs,
                drop,
            };
        }

        function drop(reason: string): void {
            const { heldBytes, behindMs, unreadMs } = describe();
            log(LogEvent.AnswerDropped, {
                request: requestId,
                reason,
                heldBytes,
                allHeldBytes: totalBytes,
                behindMs: Math.round(behindMs),
                unreadMs: Math.round(unreadMs),
                isComplete,
            });
            metrics.count("jujubelane_dropped_answers_total", "Answers ended because they were not read.", { reason });
            account.close();
            onDropped(reason);
        }

        function hasRoom(): boolean {
            // Without unread bytes, only the rest of an event or answer can complete what is held.
            return unreadBytes === 0 || unreadBytes + assembledBytes < maxAnswerBytes;
        }

        function checkRoom(): void {
            if (onRoom && hasRoom()) {
                const call = onRoom;
                onRoom = undefined;
                unreadTimer?.dispose();
                call();
            }
        }

        function setUnread(bytes: number): void {
            totalBytes += bytes - unreadBytes;
            behind += Number(bytes > 0) - Number(unreadBytes > 0);
            unreadBytes = bytes;
        }

        const account: AnswerAccount = {
            addUnread(bytes) {
                if (!accounts.has(account) || bytes === 0) {
                    return;
                }
                if (unreadBytes === 0) {
                    behindSinceMs = lastReadAtMs = timers.now();
                    readBytes = 0;
                }
                setUnread(unreadBytes + bytes);
                endExcess();
            },
            recordRead(bytes) {
                if (accounts.has(account)) {
                    lastReadAtMs = timers.now();
                    readBytes += bytes;
                    setUnread(unreadBytes - bytes);
                    checkRoom();
                }
            },
            changeAssembled(bytes) {
                if (accounts.has(account)) {
                    totalBytes += bytes;
                    assembledBytes += bytes;
                    endExcess();
                }
            },
            complete() {
                isComplete = true;
            },
            waitForRoom(call) {
                if (!accounts.has(account) || hasRoom()) {
                    return true;
                }
                if (!onRoom) {
                    unreadTimer = timers.schedule(maxUnreadMs, () => drop("unread"));
                }
                onRoom = call;
                return false;
            },
            isMemoryShort: () => totalBytes > maxBytes * assemblyShare,
            close() {
                if (accounts.delete(account)) {
                    unreadTimer?.dispose();
                    onRoom = undefined;
                    setUnread(0);
                    totalBytes -= assembledBytes;
                    assembledBytes = 0;
                }
            },
        };
        accounts.set(account, describe);
        return account;
    }

    metrics.registerGauge(
        "jujubelane_held_answer_bytes",
        "Bytes of answers that customers have not read, and of those being assembled.",
        () => totalBytes,
    );
    metrics.registerGauge(
        "jujubelane_answers_behind",
        "Answers whose customers have not read all that was received.",
        () => behind,
    );
    return { open };
}
