import { EngineProfile } from "../ports/servingConfiguration.js";

const tokenPairsPerUnit = 1e6;

/**
 * Computes the prefill time of a prompt on an idle engine, in milliseconds: a linear part at the prefill rate, and the
 * quadratic cost of attention between each token and all tokens before it.
 *
 * @example
 * computePrefillMs(engine, 45_000); // about 440 on the engines of the first deployments
 */
export function computePrefillMs(engine: EngineProfile, promptTokens: number): number {
    const pairs = (promptTokens * promptTokens) / 2;
    return (promptTokens * 1000) / engine.prefillTokensPerSecond
        + (pairs / tokenPairsPerUnit) * engine.attentionMsPerMillionPairs;
}

/**
 * Computes the duration of a pass that decodes and does not prefill, in milliseconds. Each decoding request gets one
 * event per pass.
 *
 * @example
 * computePassMs(engine, 8, 40_000);
 */
export function computePassMs(engine: EngineProfile, decodingRequests: number, contextTokens: number): number {
    const stepMs = engine.stepMs + decodingRequests * engine.stepMsPerSequence
        + (contextTokens / 1000) * engine.stepMsPerThousandTokens;
    return engine.stepsPerPass * stepMs;
}

/**
 * Estimates the output length of a request in tokens: the customer's hint if given, otherwise the engine's usual
 * length, capped by the request's own limit.
 *
 * @example
 * estimateOutputTokens(engine, 4_000, undefined);
 */
export function estimateOutputTokens(engine: EngineProfile, maxTokens: number, hint: number | undefined): number {
    const expected = hint ?? engine.meanOutputTokens;
    return maxTokens > 0 ? Math.min(maxTokens, expected) : expected;
}
