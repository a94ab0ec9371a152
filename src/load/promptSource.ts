import { createSeededRandomSource } from "../base/randomSource.js";

/** Returns the prompt of an arrival: unique, of an exact length, and the same for the same arguments. */
export type PromptSource = (index: number, tokens: number) => string;

const patternBytes = 1 << 16;
/** Maximum prompt size in bytes; more than the 4 MB of a million tokens of four bytes. */
const fillerBytes = 1 << 23;
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
    const pattern = Array.from({ length: patternBytes }, () => letters[Math.floor(random() * letters.length)]).join("");
    // One flat string, of which each prompt is a slice that needs no copy.
    const filler = Buffer.alloc(fillerBytes, pattern, "latin1").toString("latin1");
    return (index, tokens) => {
        const bytes = Math.max(1, Math.floor(tokens * bytesPerToken));
        const head = `${index.toString(36)} ${seed.toString(36)} `;
        return head.slice(0, bytes) + filler.slice(0, Math.max(0, bytes - head.length));
    };
}
