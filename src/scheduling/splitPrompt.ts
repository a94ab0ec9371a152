/** Bytes from the beginning of a prompt that each later part repeats, since instructions usually stand there. */
const beginningBytes = 1_024;

/** Most parts of one prompt; more would let one request take a fleet for long. */
export const maxPromptParts = 16;

const lineFeed = 0x0a;

/** Whether a byte continues a character in UTF-8. */
function isContinuation(byte: number | undefined): boolean {
    return byte !== undefined && (byte & 0xc0) === 0x80;
}

/** Finds the end of the part that begins at `start`: after its last line, or between characters of a longer line. */
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
    // A part holds at least one character, even if that is longer than the limit.
    for (end = end > start ? end : start + 1; isContinuation(bytes[end]);) {
        end++;
    }
    return end;
}

/**
 * Splits a prompt at line boundaries into parts of at most `maxBytes` each. A longer line is cut between characters. The
 * parts joined give the prompt. Works on bytes: joining a prompt of a million tokens from its characters stopped the
 * process for about a second.
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

/** Bytes that {@link formatPart} adds at most. */
export const partFrameBytes = beginningBytes + 256;

/** Returns the beginning of a prompt that later parts repeat. */
export function formatBeginning(prompt: string): string {
    return splitPrompt(prompt.slice(0, beginningBytes), beginningBytes)[0] ?? "";
}

/** Formats the prompt of one part. */
export function formatPart(part: string, index: number, count: number, beginning: string): string {
    const head = `This is part ${index + 1} of ${count} of one request. Answer it for this part.\n`;
    return index === 0 ? head + part : `${head}The request begins:\n${beginning}\n\nPart ${index + 1}:\n${part}`;
}

/** Formats the prompt that merges the answers to all parts. */
export function formatMerge(answers: readonly string[], beginning: string): string {
    const listed = answers.map((answer, index) => `Answer to part ${index + 1} of ${answers.length}:\n${answer}\n`);
    return `A request was answered in ${answers.length} parts. Combine the answers into one answer to the request.\n`
        + `The request begins:\n${beginning}\n\n${listed.join("\n")}`;
}
