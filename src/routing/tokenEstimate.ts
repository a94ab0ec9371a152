/** Estimates prompt tokens from bytes, with a ratio per model that is learned from the usage figures of engines. */
export interface TokenEstimate {
    /** @param configuredBytesPerToken ratio to use until usage figures have arrived */
    compute(model: string, bytes: number, configuredBytesPerToken: number): number;
    /** Records that an engine counted `tokens` for a prompt of `bytes`. */
    record(model: string, bytes: number, tokens: number): void;
}

/** Weight of one usage figure in the moving average. */
const learningRate = 0.05;
/**
 * Minimum prompt length to learn from, in tokens. In shorter prompts the fixed tokens of the chat template dominate.
 */
const minRecordedTokens = 64;

/**
 * Creates an estimate without learned ratios.
 *
 * @example
 * const estimate = createTokenEstimate();
 * estimate.record("demo", 4_000, 1_000);
 * estimate.compute("demo", 8_000, 4); // 2,000
 */
export function createTokenEstimate(): TokenEstimate {
    const bytesPerToken = new Map<string, number>();
    return {
        compute: (model, bytes, configuredBytesPerToken) =>
            Math.max(1, Math.ceil(bytes / (bytesPerToken.get(model) ?? configuredBytesPerToken))),
        record(model, bytes, tokens) {
            if (tokens >= minRecordedTokens && bytes > 0) {
                const observed = bytes / tokens;
                const learned = bytesPerToken.get(model) ?? observed;
                bytesPerToken.set(model, learned + (observed - learned) * learningRate);
            }
        },
    };
}
