import { EngineModel } from "../ports/servingConfiguration.js";

const tokenPairsPerUnit = 1e6;

/**
 * Computes how long an engine reads a prompt on its own, in milliseconds: its tokens at the prefill rate, and the
 * attention between each token and those before it.
 *
 * @example
 * computeReadMs(engine, 45_000); // about 440 on the engines of the first sites
 */
export function computeReadMs(engine: EngineModel, promptTokens: number): number {
    const pairs = (promptTokens * promptTokens) / 2;
    return (promptTokens * 1000) / engine.prefillTokensPerSecond + (pairs / tokenPairsPerUnit) * engine.pairsMs;
}

/**
 * Computes how long one pass takes that decodes and reads nothing, in milliseconds. Each decoding stream gets one event
 * a pass.
 *
 * @example
 * computePassMs(engine, 8, 40_000);
 */
export function computePassMs(engine: EngineModel, decodingRequests: number, contextTokens: number): number {
    const stepMs = engine.stepMs + decodingRequests * engine.sequenceStepMs
        + (contextTokens / 1000) * engine.contextStepMs;
    return engine.stepsPerPass * stepMs;
}

/**
 * Estimates the output of a request in tokens: the customer's hint where there is one, or what is usual, and no more
 * than the limit that the request sets.
 *
 * @example
 * estimateOutputTokens(engine, 4_000, undefined);
 */
export function estimateOutputTokens(engine: EngineModel, maxTokens: number, hint: number | undefined): number {
    const expected = hint ?? engine.usualOutputTokens;
    return maxTokens > 0 ? Math.min(maxTokens, expected) : expected;
}
