import { createSeededRandomSource } from "../base/randomSource.js";

/** Makes the prompt of an arrival: unique, of an exact length, and the same whenever it is asked for. */
export type PromptSource = (index: number, tokens: number) => string;

const fillerBytes = 1 << 20;
const letters = "abcdefghijklmnopqrstuvwxyz     ";

/**
 * Creates a source of prompts. Prompts consist of ASCII letters and spaces, so that they need no escapes in JSON and a
 * byte is a character.
 *
 * @example
 * const makePrompt = createPromptSource(42, 4);
 * makePrompt(0, 1_000).length; // 4000
 */
export function createPromptSource(seed: number, bytesPerToken: number): PromptSource {
    const random = createSeededRandomSource(seed);
    const filler = Array.from({ length: fillerBytes }, () => letters[Math.floor(random() * letters.length)]).join("");
    return (index, tokens) => {
        const bytes = Math.max(1, Math.floor(tokens * bytesPerToken));
        const head = `${index.toString(36)} ${seed.toString(36)} `;
        const repeats = Math.ceil(bytes / fillerBytes);
        return (head + filler.repeat(repeats)).slice(0, bytes);
    };
}
