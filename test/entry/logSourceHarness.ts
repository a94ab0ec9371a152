import { createManualTimerService, ManualTimerService } from "../../src/base/manualTimerService.js";
import { createSeededRandomSource } from "../../src/base/randomSource.js";
import { waitFor } from "../../src/base/timerService.js";
import { buildChanges, configurationStream, makeChangeSetRecord } from "../../src/config/changeSet.js";
import { makeEmptyObjects } from "../../src/config/objects.js";
import { createLogModel, LogModel } from "../../src/emulator/log/logModel.js";
import { createMemoryLogService } from "../../src/emulator/log/memoryLogService.js";
import { ConfigurationSource } from "../../src/entry/configurationSource.js";
import {
    createLogConfigurationSource,
    defaultLogConfigurationSettings,
} from "../../src/entry/logConfigurationSource.js";
import { ConfigurationMessage } from "../../src/link/messages.js";
import { LogService, LogServiceError, LogServiceErrorKind } from "../../src/ports/logService.js";
import { makeRankRecord, makeSampleObjects } from "../config/samples.js";

/** Retention of the log in these tests, in milliseconds of the manual clock. */
export const retentionMs = 60_000;
/** Peers answer later than the log, so that the tests detect a source that does not wait for them. */
const peerAnswerMs = 300;
const stepMs = 25;
const turnsPerStep = 12;

/** Several sources that follow one log, on a manual clock. `sidecarConfiguration` stands for all sidecars. */
export interface SourceHarness {
    readonly timers: ManualTimerService;
    readonly model: LogModel;
    readonly logService: LogService;
    readonly sources: ConfigurationSource[];
    /** Configuration that sidecars return to a new source. */
    sidecarConfiguration: ConfigurationMessage | undefined;
    /** Indexes of the sources that cannot reach the log. */
    readonly disconnected: Set<number>;
    /** Describes the first change of any source to an older generation; `undefined` if there was none. */
    regression: string | undefined;
    /** Starts a source at `index` and disposes the previous one at that index. */
    start(index: number, logService?: LogService): ConfigurationSource;
    advance(durationMs: number): Promise<void>;
    publishSample(): Promise<void>;
    /** Appends a change of one rank, based on the offset up to which the first source has folded. */
    publishRank(id: string, name: string, timeLimitMs: number): Promise<void>;
    generations(): readonly number[];
}

/** Creates a harness with an empty log. */
export function createSourceHarness(): SourceHarness {
    const timers = createManualTimerService();
    const model = createLogModel({ retentionMs, maxRecords: 10_000, appendsPerSecond: 400 }, timers);
    const logService = createMemoryLogService(model, timers);
    const sources: ConfigurationSource[] = [];
    const disconnected = new Set<number>();
    let seed = 1;

    function createDisconnectableLog(index: number): LogService {
        function check<Answer>(call: () => Promise<Answer>): Promise<Answer> {
            const error = new LogServiceError(LogServiceErrorKind.Unavailable, "disconnected by the test");
            return disconnected.has(index) ? Promise.reject(error) : call();
        }
        return {
            append: (stream, values) => check(() => logService.append(stream, values)),
            read: (stream, from, limit, waitMs) => check(() => logService.read(stream, from, limit, waitMs)),
        };
    }

    const harness: SourceHarness = {
        disconnected,
        timers,
        model,
        logService,
        sources,
        sidecarConfiguration: undefined,
        regression: undefined,
        start(index, service = createDisconnectableLog(index)) {
            sources[index]?.dispose();
            let lastGeneration = -1;
            const source = createLogConfigurationSource({ ...defaultLogConfigurationSettings, retentionMs }, {
                timers,
                random: createSeededRandomSource(seed++),
                log: () => undefined,
                logService: service,
                async findPeerConfigurations() {
                    await waitFor(timers, peerAnswerMs);
                    return harness.sidecarConfiguration ? [harness.sidecarConfiguration] : [];
                },
            });
            source.subscribe(({ generation }) => {
                const sidecarGeneration = harness.sidecarConfiguration?.generation ?? -1;
                if (generation < lastGeneration || generation < sidecarGeneration) {
                    harness.regression ??=
                        `source ${index} went to generation ${generation} after ${lastGeneration}/${sidecarGeneration}`;
                }
                lastGeneration = generation;
                const message = source.buildMessage()!;
                if (message.generation > sidecarGeneration) {
                    harness.sidecarConfiguration = message;
                }
            });
            sources[index] = source;
            return source;
        },
        async advance(durationMs) {
            for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
                timers.advance(stepMs);
                for (let turn = 0; turn < turnsPerStep; turn++) {
                    await new Promise(resolve => setImmediate(resolve));
                }
            }
        },
        async publishSample() {
            const changes = buildChanges(makeEmptyObjects(), makeSampleObjects(), true);
            const changeSet = { id: "sample", author: "test", base: -1, changes };
            await logService.append(configurationStream, [makeChangeSetRecord(changeSet)]);
        },
        async publishRank(id, name, timeLimitMs) {
            const base = sources[0]!.describe().foldedOffset;
            await logService.append(configurationStream, [makeRankRecord(id, base, name, timeLimitMs)]);
        },
        generations: () => sources.map(source => source.getCurrent()?.generation ?? -1),
    };
    return harness;
}
