import { EventLog } from "../../base/log.js";
import { LogEvent } from "../../base/logEvents.js";
import { TimerService, waitFor } from "../../base/timerService.js";
import { ClaimFold, ClaimFoldSettings, createClaimFold, RecordedOutcome } from "../../idempotency/index.js";
import { LogService } from "../../ports/logService.js";

/** This sidecar's view of one claim stream, folded from its records. The stream is read only on demand. */
export interface ClaimPartition {
    readonly stream: string;
    readonly fold: ClaimFold;
    /**
     * Reads to the end of the stream, in a read that begins after this call.
     *
     * @returns false if the log did not answer within the time limit
     */
    sync(timeLimitMs: number): Promise<boolean>;
    /** Resolves when new records or a local outcome have been applied, or after `timeLimitMs`. */
    waitForChange(timeLimitMs: number): Promise<void>;
    /** Applies an outcome of this process before its record is in the log. */
    applyOutcome(claim: string, outcome: RecordedOutcome): void;
}

const pageRecords = 500;
const pollMs = 2_000;
const pollRetryDelayMs = 200;

/**
 * Creates the view of one claim stream.
 *
 * @example
 * const partition = createClaimPartition("claims-0", service, timers, log, settings);
 * if (await partition.sync(1_000)) { partition.fold.find(customer, key); }
 */
export function createClaimPartition(
    stream: string,
    service: LogService,
    timers: TimerService,
    log: EventLog,
    settings: ClaimFoldSettings,
): ClaimPartition {
    const fold = createClaimFold(settings);
    const changeListeners = new Set<() => void>();
    let currentRead: Promise<boolean> | undefined;
    let nextRead: Promise<boolean> | undefined;
    let isPolling = false;

    async function readToEnd(): Promise<boolean> {
        const startOffset = fold.getNextOffset();
        try {
            for (;;) {
                const fromOffset = fold.getReadOffset();
                const page = await service.read(stream, fromOffset, pageRecords);
                const nextOffset = fold.getNextOffset();
                const isLogReset = !fold.applyPage(page);
                if (isLogReset || page.firstOffset > nextOffset) {
                    const { firstOffset, endOffset } = page;
                    log(LogEvent.ClaimStreamGap, { stream, nextOffset, firstOffset, endOffset });
                }
                if (isLogReset) {
                    continue;
                }
                const last = page.records.at(-1);
                if (!last || last.offset + 1 >= page.endOffset) {
                    break;
                }
            }
        }
        catch {
            return false;
        }
        // Waiting sends read the stream when they are woken. A read without new records must not wake them, because
        // they would wake each other in a loop.
        if (fold.getNextOffset() !== startOffset) {
            emitChange();
        }
        return true;
    }

    function emitChange() {
        for (const listener of [...changeListeners]) {
            listener();
        }
    }

    /** Starts a read. While one is in progress, returns a single shared read that follows it. */
    function read(): Promise<boolean> {
        if (!currentRead) {
            currentRead = readToEnd().finally(() => {
                currentRead = undefined;
            });
            return currentRead;
        }
        nextRead ??= currentRead.then(() => {
            nextRead = undefined;
            return read();
        });
        return nextRead;
    }

    function waitWithin<Value>(promise: Promise<Value>, timeLimitMs: number, fallback: Value): Promise<Value> {
        return new Promise((resolve, reject) => {
            const timer = timers.schedule(timeLimitMs, () => resolve(fallback));
            promise.finally(() => timer.dispose()).then(resolve, reject);
        });
    }

    /** Polls the stream as long as a send waits for a change. */
    async function poll() {
        isPolling = true;
        while (changeListeners.size > 0) {
            try {
                const next = fold.getNextOffset();
                const page = await service.read(stream, next, 1, pollMs);
                if (page.endOffset !== next && !await read()) {
                    await waitFor(timers, pollRetryDelayMs);
                }
            }
            catch {
                await waitFor(timers, pollRetryDelayMs);
            }
        }
        isPolling = false;
    }

    return {
        stream,
        fold,
        sync: timeLimitMs => waitWithin(read(), timeLimitMs, false),
        async waitForChange(timeLimitMs) {
            let listener: (() => void) | undefined;
            const changed = new Promise<void>(resolve => {
                listener = resolve;
                changeListeners.add(resolve);
            });
            if (!isPolling) {
                void poll();
            }
            await waitWithin(changed, timeLimitMs, undefined);
            changeListeners.delete(listener!);
        },
        applyOutcome(claim, outcome) {
            fold.applyOutcome(claim, outcome);
            emitChange();
        },
    };
}
