/** Length class of a work item. The value is the order inside a rank: shorter prompts first. */
export enum LengthClass {
    Short = 0,
    Medium = 1,
    Long = 2,
    /** Work of any length that was running when its endpoint crashed. It runs one item at a time. */
    Suspect = 3,
}

/** Number of length classes, and so of queues in a rank. */
export const lengthClassCount = 4;

/** Length limit of short prompts, to which the latency targets for short prompts apply. */
export const shortPromptTokens = 4_096;
/** Length limit of medium prompts: at 20,000 tokens a second, the prefill takes 1.6 s. */
export const mediumPromptTokens = 32_768;

/** Returns the length class of a prompt by its number of tokens that are not in the prefix cache. */
export function computeLengthClass(prefillTokens: number): LengthClass {
    if (prefillTokens <= shortPromptTokens) {
        return LengthClass.Short;
    }
    return prefillTokens <= mediumPromptTokens ? LengthClass.Medium : LengthClass.Long;
}

/**
 * Share of a rank's service that is guaranteed to each class while shorter prompts of the rank are queued, to prevent
 * starvation. Short prompts go first and do not depend on their guarantee.
 */
export const classShares: Readonly<Record<LengthClass, number>> = {
    [LengthClass.Short]: 0.7,
    [LengthClass.Medium]: 0.1,
    [LengthClass.Long]: 0.1,
    [LengthClass.Suspect]: 0.05,
};
