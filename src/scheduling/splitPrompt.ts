/** Bytes from the beginning of a prompt that each later part repeats, since instructions usually stand there. */
const beginningBytes = 1_024;

/** Most parts of one prompt; more would let one request take a fleet for long. */
export const maxPromptParts = 16;

/**
 * Splits a prompt at line boundaries into parts of at most `maxBytes` each. A longer line is cut between characters. The
 * parts joined give the prompt.
 *
 * @example
 * splitPrompt("one\ntwo\n", 4); // ["one\n", "two\n"]
 */
export function splitPrompt(prompt: string, maxBytes: number): readonly string[] {
    const parts: string[] = [];
    let part = "";
    let partBytes = 0;

    function append(piece: string, bytes: number) {
        if (partBytes > 0 && partBytes + bytes > maxBytes) {
            parts.push(part);
            part = "";
            partBytes = 0;
        }
        part += piece;
        partBytes += bytes;
    }

    for (const line of prompt.split(/(?<=\n)/)) {
        const bytes = Buffer.byteLength(line);
        if (bytes <= maxBytes) {
            append(line, bytes);
            continue;
        }
        for (const character of line) {
            append(character, Buffer.byteLength(character));
        }
    }
    return partBytes > 0 ? [...parts, part] : parts;
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
