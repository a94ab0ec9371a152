import murmurhash from "murmurhash";

/** Bytes of a prompt that the emulated engine counts as one token. */
export const emulatedBytesPerToken = 4;

/**
 * Returns the token count of a prompt.
 *
 * @example
 * countTokens("12345678"); // 2
 */
export function countTokens(prompt: string): number {
    return Math.max(1, Math.ceil(Buffer.byteLength(prompt) / emulatedBytesPerToken));
}

/**
 * Returns the text of one output token. It depends on the prompt alone, so that a test can verify each byte of an
 * answer against the prompt that asked for it.
 *
 * @example
 * makeOutputToken(computePromptHash("hello"), 0);
 */
export function makeOutputToken(promptHash: number, sequence: number): string {
    return ` ${promptHash.toString(36)}.${sequence}`;
}

/** Returns the hash of a prompt that determines its output. */
export function computePromptHash(prompt: string): number {
    return murmurhash.v3(Buffer.from(prompt, "utf8"));
}

/**
 * Returns the complete output that the emulated engine generates for a prompt.
 *
 * @example
 * makeExpectedOutput("hello", 16);
 */
export function makeExpectedOutput(prompt: string, tokens: number): string {
    const hash = computePromptHash(prompt);
    let output = "";
    for (let sequence = 0; sequence < tokens; sequence++) {
        output += makeOutputToken(hash, sequence);
    }
    return output;
}
