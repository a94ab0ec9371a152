/** Reports a body that is longer than its reader accepts. */
export class BodyTooLongError extends Error {
    constructor(readonly maxBytes: number) {
        super(`body is longer than ${maxBytes} bytes`);
    }
}

/**
 * Reads a body to its end. Throws a `BodyTooLongError` as soon as more than `maxBytes` have arrived, which closes the
 * connection: a server in trouble may send bytes without end.
 *
 * @example
 * const text = (await readBounded(response.body, 1024 * 1024)).toString("utf8");
 */
export async function readBounded(body: AsyncIterable<unknown>, maxBytes: number): Promise<Buffer> {
    const chunks: Uint8Array[] = [];
    let bytes = 0;
    for await (const chunk of body) {
        const received = chunk as Uint8Array;
        bytes += received.length;
        if (bytes > maxBytes) {
            throw new BodyTooLongError(maxBytes);
        }
        chunks.push(received);
    }
    return Buffer.concat(chunks);
}
