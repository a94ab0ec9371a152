/** Length class of a work item. The number is the order inside a rank: shorter prompts first. */
export enum LengthClass {
    Short = 0,
    Medium = 1,
    Long = 2,
    /** Work that ran beside a crash of its endpoint, of any length; one at a time. */
    Suspect = 3,
}

/** Number of length classes, and so of lanes in a rank. */
export const lengthClassCount = 4;

/** Longest short prompt: the length to which the targets for short prompts apply. */
export const shortPromptTokens = 4_096;
/** Longest medium prompt: at 20,000 tokens a second its prefill takes 1.6 s. */
export const mediumPromptTokens = 32_768;

/** Returns the length class by the tokens that are not in the prefix cache. */
export function computeLengthClass(prefillTokens: number): LengthClass {
    if (prefillTokens <= shortPromptTokens) {
        return LengthClass.Short;
    }
    return prefillTokens <= mediumPromptTokens ? LengthClass.Medium : LengthClass.Long;
}

/**
 * Share of a rank's service that each class keeps while shorter prompts of the same rank wait: the bound against
 * starvation. Short prompts go first and need no guarantee.
 */
export const classShares: Readonly<Record<LengthClass, number>> = {
    [LengthClass.Short]: 0.7,
    [LengthClass.Medium]: 0.1,
    [LengthClass.Long]: 0.1,
    [LengthClass.Suspect]: 0.05,
};
