import { Configuration, CostBasis } from "../config/objects.js";
import { EngineReport } from "../ports/modelEngine.js";
import { CostFunction, SchedulerPolicy } from "../scheduling/scheduler.js";
import { SidecarSettings } from "./sidecar.js";

/** Maximum number of concurrent requests of an endpoint whose configuration sets none. */
const defaultMaxRunning = 64;

/** Rates that are used until the engine's first report. */
const assumedPrefillTokensPerSecond = 1_000;
const assumedDecodeTokensPerSecond = 10;

/**
 * Builds the scheduler's policy from the configuration in force and the engine's last report.
 */
export function buildSchedulerPolicy(
    settings: Pick<SidecarSettings, "endpoint" | "maxQueuedRequests" | "maxQueuedBytes">,
    configuration: Configuration | undefined,
    report: EngineReport | undefined,
): SchedulerPolicy {
    const endpoint = configuration?.objects.endpoints[settings.endpoint];
    const isService = endpoint?.service !== undefined;
    return {
        ranks: Object.entries(configuration?.objects.ranks ?? {}).map(([name, rank]) => ({
            name,
            urgency: rank.urgency,
            share: rank.share,
        })),
        capacity: {
            memoryTokens: isService ? Number.MAX_SAFE_INTEGER : report?.memoryTokens ?? endpoint?.memoryTokens ?? 0,
            prefillTokensPerSecond: report?.prefillTokensPerSecond ?? assumedPrefillTokensPerSecond,
            decodeTokensPerSecond: report?.decodeTokensPerSecond ?? assumedDecodeTokensPerSecond,
            maxRunning: endpoint?.maxRunning ?? defaultMaxRunning,
        },
        cost: buildCostFunction(configuration),
        getWeight: customer => configuration?.objects.customers[customer]?.weight ?? 1,
        maxQueuedRequests: settings.maxQueuedRequests,
        maxQueuedBytes: settings.maxQueuedBytes,
    };
}

function buildCostFunction(configuration: Configuration | undefined): CostFunction {
    return item => {
        const kind = configuration?.objects.kinds[item.kind];
        const weight = kind?.costWeight ?? 1;
        const isToken = kind?.costBasis === CostBasis.Token;
        return weight * (isToken ? item.promptTokens + item.maxOutputTokens : 1);
    };
}
