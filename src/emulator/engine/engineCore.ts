import * as http from "node:http";
import { makeId } from "../../base/ids.js";
import { EngineReport } from "../../ports/modelEngine.js";
import { CacheEvents, CacheEventSettings, createCacheEvents } from "./cacheEvents.js";
import { createEngineCommands, EngineCommands, EngineCommandSettings } from "./engineCommands.js";
import { createEngineModel, EngineModel, EngineModelSettings } from "./engineModel.js";
import { createEngineStreams, EngineStreams } from "./engineStreams.js";
import { createPrefixCache } from "./prefixCache.js";

/** Settings of one incarnation of an emulated engine. */
export interface EngineCoreSettings extends EngineModelSettings, EngineCommandSettings, CacheEventSettings {
    /** Size of the prefix cache. */
    readonly cacheTokens: number;
    /** Age at which the figures of a load report are refreshed, in milliseconds. */
    readonly reportLagMs: number;
}

/** State of one incarnation of an emulated engine. A crash loses all of it. */
export interface EngineCore {
    readonly incarnation: string;
    readonly model: EngineModel;
    readonly commands: EngineCommands;
    readonly cacheEvents: CacheEvents;
    readonly streams: EngineStreams;
    /** Runs the batch up to `nowMs`, slower by the factor `slowdown`; 1 is full speed. */
    advance(nowMs: number, slowdown: number): void;
    makeReport(nowMs: number): EngineReport;
}

/**
 * Creates the state of one incarnation of an emulated engine.
 *
 * @example
 * const core = createEngineCore(settings, timers.now(), () => false);
 */
export function createEngineCore(
    settings: EngineCoreSettings,
    startMs: number,
    isSilent: (response: http.ServerResponse) => boolean,
): EngineCore {
    const incarnation = makeId();
    const cacheEvents = createCacheEvents(settings);
    const cache = createPrefixCache(settings.cacheTokens);
    let lastAdvanceMs = startMs;
    const model = createEngineModel(settings, cache, changes => cacheEvents.append(changes, lastAdvanceMs));
    const streams = createEngineStreams(model, isSilent);
    const commands = createEngineCommands(settings);
    let loadSnapshot = readLoadSnapshot(startMs);

    function readLoadSnapshot(nowMs: number) {
        return { readMs: nowMs, usedTokens: model.getUsedTokens(), ...model.countActive() };
    }

    return {
        incarnation,
        model,
        commands,
        cacheEvents,
        streams,
        advance(nowMs, slowdown) {
            const elapsedMs = nowMs - lastAdvanceMs;
            lastAdvanceMs = nowMs;
            model.advance(nowMs, elapsedMs / slowdown).forEach(sequence => streams.publish(sequence));
            if (nowMs - loadSnapshot.readMs >= settings.reportLagMs) {
                loadSnapshot = readLoadSnapshot(nowMs);
            }
        },
        makeReport(nowMs) {
            if (settings.reportLagMs === 0) {
                loadSnapshot = readLoadSnapshot(nowMs);
            }
            const { usedTokens, running, waiting } = loadSnapshot;
            return {
                model: settings.model,
                ...commands.get(nowMs),
                incarnation,
                memoryTokens: settings.memoryTokens,
                usedTokens,
                running,
                waiting,
                prefillTokensPerSecond: settings.prefillTokensPerSecond,
                decodeTokensPerSecond: settings.decodeTokensPerSecond,
            };
        },
    };
}
