/** Bytes that wait to be written, in order. */
export interface ByteQueue {
    add(bytes: Buffer): void;
    /** Removes and returns the first bytes, up to `maxBytes`. */
    take(maxBytes: number): Buffer;
    countBytes(): number;
}

/**
 * Pieces below this size are copied into blocks of it. A stream of small events would otherwise need more memory for its
 * many pieces than for their bytes.
 */
const blockBytes = 16 * 1024;

/**
 * Creates an empty queue.
 *
 * @example
 * queue.add(Buffer.from("data: a\n\n"));
 * response.write(queue.take(64 * 1024));
 */
export function createByteQueue(): ByteQueue {
    const pieces: Buffer[] = [];
    let block: Buffer | undefined;
    let blockUsed = 0;
    let bytesHeld = 0;

    function closeBlock(): void {
        if (block && blockUsed > 0) {
            pieces.push(block.subarray(0, blockUsed));
        }
        block = undefined;
        blockUsed = 0;
    }

    return {
        add(bytes) {
            bytesHeld += bytes.length;
            if (blockUsed + bytes.length > blockBytes) {
                closeBlock();
            }
            if (bytes.length >= blockBytes) {
                pieces.push(bytes);
                return;
            }
            block ??= Buffer.allocUnsafeSlow(blockBytes);
            blockUsed += bytes.copy(block, blockUsed);
        },
        take(maxBytes) {
            if (pieces.length === 0) {
                closeBlock();
            }
            const first = pieces.shift() ?? Buffer.alloc(0);
            if (first.length > maxBytes) {
                pieces.unshift(first.subarray(maxBytes));
            }
            const taken = first.subarray(0, maxBytes);
            bytesHeld -= taken.length;
            return taken;
        },
        countBytes: () => bytesHeld,
    };
}
