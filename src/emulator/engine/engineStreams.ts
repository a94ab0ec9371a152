import * as http from "node:http";
import { EngineModel, Sequence } from "./engineModel.js";

/** Connections that read generations as server-sent events. */
export interface EngineStreams {
    /** Streams a generation from a token to its end. */
    serve(sequence: Sequence, fromSequence: number, response: http.ServerResponse): void;
    /** Sends the new tokens of a generation to its readers. */
    publish(sequence: Sequence): void;
    countReaders(): number;
}

/**
 * Creates the streams of an emulated engine.
 *
 * @param isSilent whether a connection has stopped responding
 *
 * @example
 * const streams = createEngineStreams(model, () => false);
 */
export function createEngineStreams(
    model: EngineModel,
    isSilent: (response: http.ServerResponse) => boolean,
): EngineStreams {
    const readers = new Map<string, Set<() => void>>();

    function formatToken(sequence: Sequence, index: number): string {
        const { id } = sequence.generation;
        return `data: ${JSON.stringify({ id, sequence: index, choices: [{ text: sequence.output[index] }] })}\n\n`;
    }

    function formatEnd(sequence: Sequence): string {
        const usage = model.getUsage(sequence);
        const event = {
            id: sequence.generation.id,
            sequence: sequence.output.length,
            choices: [{ text: "", finish_reason: sequence.finish }],
            usage: {
                prompt_tokens: usage.promptTokens,
                cached_tokens: usage.cachedTokens,
                completion_tokens: usage.outputTokens,
            },
        };
        return `data: ${JSON.stringify(event)}\n\ndata: [DONE]\n\n`;
    }

    return {
        serve(sequence, fromSequence, response) {
            const { id } = sequence.generation;
            const writers = readers.get(id) ?? new Set();
            let next = fromSequence;
            readers.set(id, writers);
            writers.add(write);

            function stop() {
                writers.delete(write);
                if (writers.size === 0 && readers.get(id) === writers) {
                    readers.delete(id);
                }
            }

            function write() {
                if (isSilent(response)) {
                    return;
                }
                let text = "";
                for (; next < sequence.output.length; next++) {
                    text += formatToken(sequence, next);
                }
                if (sequence.finish !== undefined) {
                    response.end(text + formatEnd(sequence));
                    stop();
                }
                else if (text.length > 0) {
                    response.write(text);
                }
            }

            response.on("close", stop);
            response.writeHead(200, { "content-type": "text/event-stream" });
            response.flushHeaders();
            write();
        },
        countReaders: () => readers.size,
        publish(sequence) {
            for (const write of [...readers.get(sequence.generation.id) ?? []]) {
                write();
            }
        },
    };
}
