import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService, waitFor } from "../base/timerService.js";
import { CustomerServer } from "./customerServer.js";
import { DrainControl } from "./drainControl.js";

export interface GatewayDrainOptions {
    readonly timers: TimerService;
    readonly log: EventLog;
    readonly customers: CustomerServer;
    /** Time between SIGTERM and SIGKILL, in milliseconds. */
    readonly graceMs: number;
    /** Longest time for which SIGTERM may have waited in a process that was delayed, in milliseconds. */
    readonly signalDelayMs: number;
    /** Decides about requests from the beginning on, and ends what is left. */
    readonly control: Pick<DrainControl, "begin" | "endRequests">;
}

/**
 * Time after SIGTERM for which idle connections are kept and new ones accepted in any case, in milliseconds. The load
 * balancer notices the failing readiness check meanwhile, and customers move to other gateways.
 */
const minAcceptMs = 3_000;
/** Largest share of the time until SIGKILL that `minAcceptMs` may take. */
const maxAcceptShare = 0.4;
/** Time for which SIGTERM may wait in a process that is not delayed, in milliseconds. */
const usualSignalDelayMs = 200;
/** Time before SIGKILL at which the remaining requests are aborted, in milliseconds, and its largest share of the grace. */
const closeBeforeKillMs = 400;
const maxCloseShare = 0.15;
const drainCheckIntervalMs = 50;
/** Time for which final answers are waited for to be sent, in milliseconds. */
const flushMs = 150;
/** Time for the requests that are broken off to end, in milliseconds. It is within `closeBeforeKillMs`. */
const closingMs = 100;
const closingCheckIntervalMs = 10;

/** Computes for how long idle connections are kept, in milliseconds, with `graceMs` left until SIGKILL. */
function computeAcceptMs(graceMs: number): number {
    return Math.min(minAcceptMs, graceMs * maxAcceptShare);
}

/**
 * Finishes the requests of a gateway that stops and closes its customers' connections. Resolves when no request is left or
 * the time is over.
 *
 * @example
 * await drainCustomers({ timers, log, customers, graceMs: 10_000, signalDelayMs: 0, control });
 */
export async function drainCustomers(options: GatewayDrainOptions): Promise<void> {
    const { timers, log, customers, graceMs, control } = options;
    const nowMs = timers.now();
    const startedAtMs = nowMs - options.signalDelayMs;
    const closeMs = Math.min(closeBeforeKillMs, graceMs * maxCloseShare);
    // An end that is too early breaks off more answers. The time for closing is needed even if SIGTERM has waited.
    const endsAtMs = Math.min(
        nowMs + graceMs - closeMs,
        startedAtMs + graceMs - Math.min(closeMs, flushMs + closingMs),
    );
    log(LogEvent.ProcessDraining, { requests: customers.countRequests() });
    customers.startClosing();
    const acceptMs = computeAcceptMs(Math.max(0, graceMs - options.signalDelayMs));
    control.begin({
        startedAtMs,
        lateFromMs: startedAtMs + computeAcceptMs(graceMs) - usualSignalDelayMs,
        closesIdleAtMs: nowMs + acceptMs,
        endsAtMs,
    });
    await waitFor(timers, acceptMs);
    customers.closeIdleConnections();
    // Connections are accepted to the end: if other gateways stop too, customers have nowhere else to go.
    while (customers.countRequests() > 0 && timers.now() < endsAtMs) {
        await waitFor(timers, drainCheckIntervalMs);
    }
    control.endRequests();
    customers.stopAccepting();
    await customers.flush(flushMs);
    customers.close();
    // Requests learn of the close later, and give back what they hold to parts that must still work then.
    const closedAtMs = timers.now() + closingMs;
    do {
        await waitFor(timers, closingCheckIntervalMs);
    }
    while (customers.countRequests() > 0 && timers.now() < closedAtMs);
}
