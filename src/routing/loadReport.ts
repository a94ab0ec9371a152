/** Load of one rank at a sidecar. */
export interface RankLoad {
    readonly rank: string;
    readonly queued: number;
    readonly queuedTokens: number;
    /** Prompt tokens of short prompts that wait or run without a first token. */
    readonly pendingShortTokens?: number;
    /** The same for longer prompts. */
    readonly pendingLongTokens?: number;
}

/** Load of a sidecar, sent with heartbeats and answers. */
export interface LoadReport {
    readonly running: number;
    readonly queued: number;
    /** Prompt tokens not yet prefilled, queued and running. */
    readonly pendingPrefillTokens: number;
    readonly reservedTokens: number;
    readonly memoryTokens: number;
    /** Largest prompt with its output that the endpoint accepts, in tokens; 0 before the engine has reported. */
    readonly largestRequestTokens?: number;
    readonly prefillTokensPerSecond: number;
    readonly decodeTokensPerSecond: number;
    readonly ranks: readonly RankLoad[];
    /** Model version that the engine reports. */
    readonly version: string | undefined;
    /** Generation that the endpoint has reconciled with; -1 for none. */
    readonly reconciledGeneration: number;
    /** Whether prompts above the long-prompt threshold are accepted now. */
    readonly acceptsLongPrompts: boolean;
}
