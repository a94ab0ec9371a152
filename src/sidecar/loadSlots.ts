import { AppendOutcomeKind, createLogAppender } from "../adapters/logAppender.js";
import { Disposable } from "../base/disposable.js";
import { makeId } from "../base/ids.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { LogService } from "../ports/logService.js";
import { createLeaseState, findLease, foldLease, LeaseRecord, LeaseRecordType, LeaseState } from "../rollout/leases.js";
import { HeldSlot } from "../rollout/rolloutState.js";

/** Name of the log stream of leases and quarantines. */
export const controlStream = "control";

/** What a slot client reports. */
export interface LoadSlotsListener {
    /** The slot was granted or renewed. */
    handleGranted(slot: HeldSlot): void;
    handleLost(): void;
}

/** A client of the load slots of one model at a time. */
export interface LoadSlots extends Disposable {
    /** Asks for a slot and keeps it until released. */
    acquire(model: string, capacity: number): void;
    release(): void;
}

/** Times of a slot client, in milliseconds. */
export interface LoadSlotsSettings {
    readonly durationMs: number;
    /** Shortest delay between two looks at the log while waiting, and after a failure. */
    readonly pollMs: number;
}

/** Default times of a slot client. */
export const defaultLoadSlotsSettings: LoadSlotsSettings = { durationMs: 15_000, pollMs: 300 };

interface SlotRequest {
    readonly resource: string;
    readonly capacity: number;
    token: number | undefined;
    /** When the record that last extended the lease was sent, in monotonic milliseconds. */
    sentMs: number;
    granted: boolean;
}

const pageRecords = 500;
const maxPollFactor = 16;

/**
 * Creates the client of load slots for one endpoint. A slot is valid from the moment at which the record that extended
 * it was sent, so that its holder always believes it shorter than the log does.
 *
 * @param holder name of the endpoint; a new process of the same endpoint replaces what an earlier one held
 *
 * @example
 * const slots = createLoadSlots(logService, timers, log, "engine-1", listener);
 * slots.acquire("demo", 2);
 */
export function createLoadSlots(
    logService: LogService,
    timers: TimerService,
    log: EventLog,
    holder: string,
    listener: LoadSlotsListener,
    settings: LoadSlotsSettings = defaultLoadSlotsSettings,
): LoadSlots {
    const appender = createLogAppender(logService, timers);
    let state: LeaseState = createLeaseState();
    let activeRequest: SlotRequest | undefined;
    /** When the last record of the wished resource was read. */
    let lastRecordMs = 0;

    async function append(record: LeaseRecord): Promise<number | undefined> {
        const outcome = await appender.append(controlStream, record, settings.durationMs / 3);
        return outcome.kind === AppendOutcomeKind.Appended ? outcome.offset : undefined;
    }

    /** Folds what the log holds; `visit` sees the state after each record. */
    async function readToEnd(request: SlotRequest, visit: (offset: number) => void): Promise<void> {
        for (;;) {
            const page = await logService.read(controlStream, state.nextOffset, pageRecords);
            if (page.endOffset < state.nextOffset) {
                // The log was emptied: the leases that it held are gone.
                state = createLeaseState();
            }
            for (const record of page.records) {
                const before = state.resources.get(request.resource);
                state = foldLease(state, record);
                if (state.resources.get(request.resource) !== before) {
                    lastRecordMs = timers.now();
                }
                visit(record.offset);
            }
            if (page.records.length === 0 || state.nextOffset >= page.endOffset) {
                return;
            }
        }
    }

    function getLease(request: SlotRequest) {
        return request.token === undefined ? undefined : findLease(state, request.resource, request.token);
    }

    function reportGranted(request: SlotRequest) {
        request.granted = true;
        const validUntilMs = request.sentMs + settings.durationMs;
        listener.handleGranted({ token: request.token!, validUntilMs });
    }

    async function acquireLease(request: SlotRequest): Promise<void> {
        const { resource, capacity } = request;
        const sentMs = timers.now();
        const { durationMs } = settings;
        const record = { id: makeId(), type: LeaseRecordType.Acquire, resource, holder, durationMs, capacity } as const;
        const token = await append(record);
        if (token === undefined) {
            await waitFor(timers, settings.pollMs);
            return;
        }
        request.token = token;
        request.sentMs = sentMs;
        lastRecordMs = timers.now();
        let isGrantedImmediately = false;
        await readToEnd(request, offset => {
            isGrantedImmediately ||= offset === token && getLease(request)?.expiresMs !== undefined;
        });
        if (activeRequest === request && isGrantedImmediately && getLease(request)) {
            log(LogEvent.LoadSlotGranted, { resource, token });
            reportGranted(request);
        }
    }

    /** Renews the lease. While it waits, the record only lets time pass in the log, which expires other leases. */
    async function renewLease(request: SlotRequest): Promise<void> {
        const { resource, token } = request;
        const sentMs = timers.now();
        const { durationMs } = settings;
        const record = {
            id: makeId(),
            type: LeaseRecordType.Renew,
            resource,
            holder,
            durationMs,
            token: token!,
        } as const;
        const offset = await append(record);
        if (offset === undefined) {
            await waitFor(timers, settings.pollMs);
            return;
        }
        await readToEnd(request, () => undefined);
        const lease = getLease(request);
        if (activeRequest !== request) {
            return;
        }
        if (!lease) {
            log(LogEvent.LoadSlotLost, { resource, token });
            activeRequest = undefined;
            listener.handleLost();
        }
        else if (lease.expiresMs !== undefined && request.granted) {
            request.sentMs = sentMs;
            reportGranted(request);
        }
    }

    function getQueuePosition(request: SlotRequest): number {
        const waiting = state.resources.get(request.resource)?.leases.filter(lease => lease.expiresMs === undefined);
        return (waiting ?? []).findIndex(lease => lease.token === request.token);
    }

    async function waitForGrant(request: SlotRequest): Promise<void> {
        const position = getQueuePosition(request);
        const factor = Math.min(maxPollFactor, 1 + Math.floor(Math.max(0, position) / request.capacity));
        await waitFor(timers, settings.pollMs * factor);
        await readToEnd(request, () => undefined);
        const lease = getLease(request);
        if (lease?.expiresMs !== undefined) {
            log(LogEvent.LoadSlotGranted, { resource: request.resource, token: request.token });
            // When the grant took effect is known only by the log's clock; a renewal starts from this process's own.
            request.granted = true;
            await renewLease(request);
        }
        else if (!lease) {
            request.token = undefined;
        }
        else if (position < request.capacity && timers.now() - lastRecordMs > settings.durationMs) {
            // No record has come for as long as a lease lasts: its holder has ended and nothing expires it.
            await renewLease(request);
        }
    }

    async function keepLease(request: SlotRequest): Promise<void> {
        while (activeRequest === request) {
            try {
                if (request.token === undefined) {
                    await acquireLease(request);
                }
                else if (!request.granted) {
                    await waitForGrant(request);
                }
                else {
                    await waitFor(timers, settings.durationMs / 3);
                    if (activeRequest === request) {
                        await renewLease(request);
                    }
                }
            }
            catch {
                // The log does not answer. The lease runs out by itself.
                await waitFor(timers, settings.pollMs);
            }
        }
    }

    function release() {
        const released = activeRequest;
        activeRequest = undefined;
        if (released?.token !== undefined) {
            const { resource, token } = released;
            // A release that fails costs others the rest of the lease's time.
            void append({ id: makeId(), type: LeaseRecordType.Release, resource, holder, token });
        }
    }

    return {
        acquire(model, capacity) {
            release();
            activeRequest = { resource: `load/${model}`, capacity, token: undefined, sentMs: 0, granted: false };
            void keepLease(activeRequest);
        },
        release,
        dispose: release,
    };
}
