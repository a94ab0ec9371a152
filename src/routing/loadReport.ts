/** Load of one priority rank at a sidecar. */
export interface RankLoad {
    readonly rank: string;
    readonly queued: number;
    readonly queuedTokens: number;
    /** Prompt tokens of short prompts, queued or running, that have no first token yet. */
    readonly pendingShortTokens?: number;
    /** The same for longer prompts. */
    readonly pendingLongTokens?: number;
}

/** Load of a sidecar, sent with heartbeats and responses. */
export interface LoadReport {
    readonly running: number;
    readonly queued: number;
    /** Prompt tokens not yet prefilled, queued and running. */
    readonly pendingPrefillTokens: number;
    readonly reservedTokens: number;
    readonly memoryTokens: number;
    /** Largest sum of prompt and output that the endpoint accepts, in tokens. 0 until the engine has reported. */
    readonly largestRequestTokens?: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
    readonly ranks: readonly RankLoad[];
    /** Model version that the engine reports. */
    readonly version: string | undefined;
    /** Rollout generation that the endpoint has reconciled with, or -1 for none. */
    readonly reconciledGeneration: number;
    /** Whether the endpoint currently accepts prompts above the long-prompt threshold. */
    readonly acceptsLongPrompts: boolean;
}
