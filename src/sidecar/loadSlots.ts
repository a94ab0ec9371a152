import { AppendOutcomeKind, createLogAppender } from "../adapters/logAppender.js";
import { isContinuation } from "../adapters/logPosition.js";
import { Disposable } from "../base/disposable.js";
import { makeId } from "../base/ids.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { LogService } from "../ports/logService.js";
import { createLeaseState, findLease, foldLease, LeaseRecord, LeaseRecordType, LeaseState } from "../rollout/leases.js";
import { HeldSlot } from "../rollout/rolloutState.js";

/** Log stream that holds leases and quarantines. */
export const controlStream = "control";

/** Receives the events of a slot client. */
export interface LoadSlotsListener {
    /** Called when the slot was granted or renewed. */
    handleGranted(slot: HeldSlot): void;
    /** Called when a renewal finds that the lease no longer exists. */
    handleLost(): void;
}

/** Client that holds at most one load slot. Slots are leases that limit how many endpoints of a model load at once. */
export interface LoadSlots extends Disposable {
    /** Requests a slot, and renews it until it is released. */
    acquire(model: string, capacity: number): void;
    release(): void;
}

/** Settings of a slot client, in milliseconds. */
export interface LoadSlotsSettings {
    /** Duration of a lease without renewal. */
    readonly durationMs: number;
    /** Shortest delay between two reads of the log while waiting for a grant, and after a failure. */
    readonly pollMs: number;
}

/** Default settings of a slot client. */
export const defaultLoadSlotsSettings: LoadSlotsSettings = { durationMs: 15_000, pollMs: 300 };

interface SlotRequest {
    readonly resource: string;
    readonly capacity: number;
    token: number | undefined;
    /** Monotonic time at which the record that last extended the lease was sent, in milliseconds. */
    sentMs: number;
    granted: boolean;
}

const pageRecords = 500;
const maxPollFactor = 16;

/**
 * Creates the client of load slots for one endpoint. The client counts the lease from the time at which it sent the
 * record that extended it, so the lease always ends earlier for the client than for the log.
 *
 * @param holder name of the endpoint; a new process of an endpoint replaces the lease of an earlier process
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
    /** Era of the log that the state was folded from. */
    let era: number | undefined;
    let activeRequest: SlotRequest | undefined;
    /** When the last record of the requested resource was read. */
    let lastRecordMs = 0;

    async function append(record: LeaseRecord): Promise<number | undefined> {
        const outcome = await appender.append(controlStream, record, settings.durationMs / 3);
        return outcome.kind === AppendOutcomeKind.Appended ? outcome.offset : undefined;
    }

    /** Reads and folds the log to its end. Calls `visit` after each record. */
    async function readToEnd(request: SlotRequest, visit: (offset: number) => void): Promise<void> {
        for (;;) {
            const { nextOffset } = state;
            const page = await logService.read(controlStream, nextOffset, pageRecords);
            if (!isContinuation({ nextOffset, era }, page)) {
                // The leases that the log has lost no longer exist, and the page may have begun after those that it has now.
                log(LogEvent.ControlStreamRestarted, { nextOffset, era: page.era, previousEra: era });
                state = createLeaseState();
                era = page.era;
                continue;
            }
            era = page.era;
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
        const lease = request.token === undefined ? undefined : findLease(state, request.resource, request.token);
        // A log that has lost the record of this lease can give its offset, which is the token, to another endpoint.
        return lease?.holder === holder ? lease : undefined;
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

    /** Renews the lease. If it is not granted yet, the record only advances the log's time, which expires others. */
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
            // The time of the grant is known only by the log's clock. The renewal starts the lease by the local clock.
            request.granted = true;
            await renewLease(request);
        }
        else if (!lease) {
            request.token = undefined;
        }
        else if (position < request.capacity && timers.now() - lastRecordMs > settings.durationMs) {
            // A live holder would have renewed its lease by now. Leases expire only when a record is folded, so one is
            // appended here.
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
                // The log did not answer. The lease expires unless a later renewal succeeds.
                await waitFor(timers, settings.pollMs);
            }
        }
    }

    function release() {
        const released = activeRequest;
        activeRequest = undefined;
        if (released?.token !== undefined) {
            const { resource, token } = released;
            // If the release fails, the slot stays taken until the lease expires.
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
