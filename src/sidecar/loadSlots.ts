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

interface Wish {
    readonly resource: string;
    readonly capacity: number;
    token: number | undefined;
    /** When the record that last extended the lease was sent, in monotonic milliseconds. */
    sentMs: number;
    granted: boolean;
}

const pageRecords = 500;
const maxPositionFactor = 16;

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
    let wish: Wish | undefined;
    /** When the last record of the wished resource was read. */
    let lastRecordMs = 0;

    async function append(record: LeaseRecord): Promise<number | undefined> {
        const outcome = await appender.append(controlStream, record, settings.durationMs / 3);
        return outcome.kind === AppendOutcomeKind.Appended ? outcome.offset : undefined;
    }

    /** Folds what the log holds; `visit` sees the state after each record. */
    async function readForward(current: Wish, visit: (offset: number) => void): Promise<void> {
        for (;;) {
            const page = await logService.read(controlStream, state.nextOffset, pageRecords);
            if (page.endOffset < state.nextOffset) {
                // The log was emptied: the leases that it held are gone.
                state = createLeaseState();
            }
            for (const record of page.records) {
                const before = state.resources.get(current.resource);
                state = foldLease(state, record);
                if (state.resources.get(current.resource) !== before) {
                    lastRecordMs = timers.now();
                }
                visit(record.offset);
            }
            if (page.records.length === 0 || state.nextOffset >= page.endOffset) {
                return;
            }
        }
    }

    function getLease(current: Wish) {
        return current.token === undefined ? undefined : findLease(state, current.resource, current.token);
    }

    function reportGranted(current: Wish) {
        current.granted = true;
        const validUntilMs = current.sentMs + settings.durationMs;
        listener.handleGranted({ token: current.token!, validUntilMs });
    }

    async function ask(current: Wish): Promise<void> {
        const { resource, capacity } = current;
        const sentMs = timers.now();
        const { durationMs } = settings;
        const record = { id: makeId(), type: LeaseRecordType.Acquire, resource, holder, durationMs, capacity } as const;
        const token = await append(record);
        if (token === undefined) {
            await waitFor(timers, settings.pollMs);
            return;
        }
        current.token = token;
        current.sentMs = sentMs;
        lastRecordMs = timers.now();
        let isGrantedAtOnce = false;
        await readForward(current, offset => {
            isGrantedAtOnce ||= offset === token && getLease(current)?.expiresMs !== undefined;
        });
        if (wish === current && isGrantedAtOnce && getLease(current)) {
            log(LogEvent.LoadSlotGranted, { resource, token });
            reportGranted(current);
        }
    }

    /** Renews the lease. While it waits, the record only lets time pass in the log, which expires other leases. */
    async function renew(current: Wish): Promise<void> {
        const { resource, token } = current;
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
        await readForward(current, () => undefined);
        const lease = getLease(current);
        if (wish !== current) {
            return;
        }
        if (!lease) {
            log(LogEvent.LoadSlotLost, { resource, token });
            wish = undefined;
            listener.handleLost();
        }
        else if (lease.expiresMs !== undefined && current.granted) {
            current.sentMs = sentMs;
            reportGranted(current);
        }
    }

    function getPosition(current: Wish): number {
        const waiting = state.resources.get(current.resource)?.leases.filter(lease => lease.expiresMs === undefined);
        return (waiting ?? []).findIndex(lease => lease.token === current.token);
    }

    async function wait(current: Wish): Promise<void> {
        const position = getPosition(current);
        const factor = Math.min(maxPositionFactor, 1 + Math.floor(Math.max(0, position) / current.capacity));
        await waitFor(timers, settings.pollMs * factor);
        await readForward(current, () => undefined);
        const lease = getLease(current);
        if (lease?.expiresMs !== undefined) {
            log(LogEvent.LoadSlotGranted, { resource: current.resource, token: current.token });
            // When the grant took effect is known only by the log's clock; a renewal starts from this process's own.
            current.granted = true;
            await renew(current);
        }
        else if (!lease) {
            current.token = undefined;
        }
        else if (position < current.capacity && timers.now() - lastRecordMs > settings.durationMs) {
            // No record has come for as long as a lease lasts: its holder has ended and nothing expires it.
            await renew(current);
        }
    }

    async function keep(current: Wish): Promise<void> {
        while (wish === current) {
            try {
                if (current.token === undefined) {
                    await ask(current);
                }
                else if (!current.granted) {
                    await wait(current);
                }
                else {
                    await waitFor(timers, settings.durationMs / 3);
                    if (wish === current) {
                        await renew(current);
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
        const released = wish;
        wish = undefined;
        if (released?.token !== undefined) {
            const { resource, token } = released;
            // A release that fails costs others the rest of the lease's time.
            void append({ id: makeId(), type: LeaseRecordType.Release, resource, holder, token });
        }
    }

    return {
        acquire(model, capacity) {
            release();
            wish = { resource: `load/${model}`, capacity, token: undefined, sentMs: 0, granted: false };
            void keep(wish);
        },
        release,
        dispose: release,
    };
}
