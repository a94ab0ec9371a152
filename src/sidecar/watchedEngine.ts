import { Disposable } from "../base/disposable.js";
import { EngineEvent, EngineEventKind, ModelEngine } from "../ports/modelEngine.js";
import { EngineMonitor } from "./engineWatch.js";

/** Status with which an engine that stops refuses new requests. */
export const stoppingStatus = 503;

/**
 * Wraps an engine so that a broken stream is passed on only after the watch has looked whether the engine has ended.
 * A crash is thus reported before the requests that it ended, and an entry learns that they are suspects before it runs
 * them again.
 *
 * @example
 * const watched = createWatchedEngine(engine, watch);
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
