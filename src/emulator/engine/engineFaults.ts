import * as http from "node:http";
import { Socket } from "node:net";
import { Disposable } from "../../base/disposable.js";
import { TimerService } from "../../base/timerService.js";

/** Body of `POST /emulator/faults`. Omitted fields stay unchanged. */
export interface FaultChange {
    /** Suspends the engine, including its answers, until this is set to false. */
    readonly frozen?: boolean;
    /** Factor by which the engine is slower than its settings say; 1 is full speed. */
    readonly slowdown?: number;
    /** Sends nothing more on the connections that are open now; new ones work. */
    readonly silence?: boolean;
    /** Number of upcoming cancel requests that have no effect and whose connections are closed. */
    readonly lostCancels?: number;
    /** Crashes the engine. */
    readonly crash?: boolean;
    /** Text that crashes the engine when a prompt that contains it starts; empty for none. */
    readonly poison?: string;
}

/** Callbacks through which a fault crashes an emulated engine. */
export interface FaultTarget {
    /** Ends the process; absent for an engine that is embedded in another process. */
    readonly exitProcess?: () => void;
    /** Drops all state, as a restart of the engine would. */
    restart(): void;
}

/** Fault injection of an emulated engine. */
export interface EngineFaults extends Disposable {
    apply(change: FaultChange): void;
    /** Crashes the engine: its process ends, or it drops its connections and state and refuses new ones for a while. */
    crash(): void;
    isPoisoned(prompt: string): boolean;
    isFrozen(): boolean;
    getSlowdown(): number;
    /** Returns whether to lose the current cancel request and, if so, decrements the number to lose. */
    takeLostCancel(): boolean;
    isSilent(response: http.ServerResponse): boolean;
    /** Registers a connection, or closes it while the engine is down after a crash. */
    registerSocket(socket: Socket): void;
    /** Waits until a frozen engine runs again. */
    waitUntilRunning(): Promise<void>;
    countCrashes(): number;
}

/** Time for which an embedded engine refuses connections after a crash, in milliseconds. */
const embeddedRestartMs = 300;

/**
 * Creates the fault injection of an emulated engine.
 *
 * @example
 * const faults = createEngineFaults({ restart: () => undefined }, timers, "");
 * faults.apply({ frozen: true });
 */
export function createEngineFaults(target: FaultTarget, timers: TimerService, initialPoison: string): EngineFaults {
    const sockets = new Set<Socket>();
    const silent = new WeakSet<Socket>();
    let waiters: (() => void)[] = [];
    let frozen = false;
    let slowdown = 1;
    let poison = initialPoison;
    let crashes = 0;
    let lostCancels = 0;
    let downUntilMs = -Infinity;

    function crash() {
        crashes++;
        target.exitProcess?.();
        downUntilMs = timers.now() + embeddedRestartMs;
        sockets.forEach(socket => socket.destroy());
        target.restart();
    }

    return {
        crash,
        apply(change) {
            slowdown = change.slowdown ?? slowdown;
            poison = change.poison ?? poison;
            frozen = change.frozen ?? frozen;
            lostCancels = change.lostCancels ?? lostCancels;
            if (!frozen) {
                waiters.splice(0).forEach(resume => resume());
            }
            if (change.silence) {
                sockets.forEach(socket => silent.add(socket));
            }
            if (change.crash) {
                crash();
            }
        },
        isPoisoned: prompt => poison !== "" && prompt.includes(poison),
        isFrozen: () => frozen,
        takeLostCancel: () => lostCancels > 0 && lostCancels-- > 0,
        getSlowdown: () => slowdown,
        isSilent: response => response.socket !== null && silent.has(response.socket),
        registerSocket(socket) {
            if (timers.now() < downUntilMs) {
                socket.destroy();
                return;
            }
            sockets.add(socket);
            socket.once("close", () => sockets.delete(socket));
        },
        waitUntilRunning: () => frozen ? new Promise<void>(resolve => waiters.push(resolve)) : Promise.resolve(),
        countCrashes: () => crashes,
        dispose() {
            waiters = [];
        },
    };
}
