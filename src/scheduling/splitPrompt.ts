/**
 * Number of bytes from the beginning of a prompt that each later part repeats, since instructions are usually there.
 */
const beginningBytes = 1_024;

/** Maximum number of parts of one prompt. More would let one request occupy a fleet for a long time. */
export const maxPromptParts = 16;

const lineFeed = 0x0a;

/** Whether a byte continues a character in UTF-8. */
function isContinuation(byte: number | undefined): boolean {
    return byte !== undefined && (byte & 0xc0) === 0x80;
}

/** Finds the end of the part that begins at `start`: after its last complete line, or inside a longer line. */
function findPartEnd(bytes: Buffer, start: number, maxBytes: number): number {
    const limit = start + maxBytes;
    if (limit >= bytes.length) {
        return bytes.length;
    }
    const lineEnd = bytes.lastIndexOf(lineFeed, limit - 1) + 1;
    if (lineEnd > start) {
        return lineEnd;
    }
    let end = limit;
    while (end > start && isContinuation(bytes[end])) {
        end--;
    }
    // A part holds at least one character, even if that has more bytes than the limit.
    for (end = end > start ? end : start + 1; isContinuation(bytes[end]);) {
        end++;
    }
    return end;
}

/**
 * Splits a prompt at line boundaries into parts of at most `maxBytes` each. A longer line is cut between characters.
 * Concatenating the parts gives the prompt. Works on bytes, because joining the characters of a prompt of a million
 * tokens blocks the event loop for about a second.
 *
 * @example
 * splitPrompt("one\ntwo\n", 4); // ["one\n", "two\n"]
 */
export function splitPrompt(prompt: string, maxBytes: number): readonly string[] {
    const bytes = Buffer.from(prompt, "utf8");
    const parts: string[] = [];
    for (let start = 0; start < bytes.length;) {
        const end = findPartEnd(bytes, start, maxBytes);
        parts.push(bytes.toString("utf8", start, end));
        start = end;
    }
    return parts;
}

/** Maximum number of bytes that {@link formatPart} adds to a part. */
export const maxPartOverheadBytes = beginningBytes + 256;

/** Returns the beginning of a prompt that later parts repeat. */
export function formatBeginning(prompt: string): string {
    return splitPrompt(prompt.slice(0, beginningBytes), beginningBytes)[0] ?? "";
}

/** Formats the prompt of one part of a split request. */
export function formatPart(part: string, index: number, count: number, beginning: string): string {
    const head = `This is part ${index + 1} of ${count} of one request. Answer it for this part.\n`;
    return index === 0 ? head + part : `${head}The request begins:\n${beginning}\n\nPart ${index + 1}:\n${part}`;
}

/** Formats the prompt that asks for the answers to all parts to be merged. */
export function formatMerge(answers: readonly string[], beginning: string): string {
    const listed = answers.map((answer, index) => `Answer to part ${index + 1} of ${answers.length}:\n${answer}\n`);
    return `A request was answered in ${answers.length} parts. Combine the answers into one answer to the request.\n`
        + `The request begins:\n${beginning}\n\n${listed.join("\n")}`;
}
