import { Disposable } from "../base/disposable.js";
import { EngineEvent, EngineEventKind, ModelEngine } from "../ports/modelEngine.js";
import { EngineMonitor } from "./engineMonitor.js";

/** HTTP status with which a stopping engine refuses new requests. */
export const stoppingStatus = 503;

/**
 * Wraps an engine so that a broken stream is reported only after the monitor has checked whether the engine has ended.
 * A crash is thus reported before the ends of its requests, and entries learn that these are suspects before they retry
 * them.
 *
 * @example
 * const monitored = createMonitoredEngine(engine, monitor);
 */
export function createMonitoredEngine(engine: ModelEngine, monitor: EngineMonitor): ModelEngine {
    function follow(open: (listen: (event: EngineEvent) => void) => Disposable, listen: (event: EngineEvent) => void) {
        let closed = false;
        const stream = open(event => {
            if (event.kind === EngineEventKind.Broken) {
                void monitor.read().then(() => {
                    if (!closed) {
                        listen(event);
                    }
                });
                return;
            }
            if (event.kind === EngineEventKind.Refused && event.status === stoppingStatus) {
                monitor.markRefusing();
            }
            listen(event);
        });
        return {
            dispose() {
                closed = true;
                stream.dispose();
            },
        };
    }

    return {
        ...engine,
        generate: (request, listen) => follow(listenRaw => engine.generate(request, listenRaw), listen),
        resume: (id, fromSequence, listen) => follow(listenRaw => engine.resume(id, fromSequence, listenRaw), listen),
    };
}
