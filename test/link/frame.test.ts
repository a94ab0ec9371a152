import fc from "fast-check";
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { ResultKind } from "../../src/base/result.js";
import { createFrameDecoder, encodeFrame, FrameErrorKind } from "../../src/link/frame.js";
import { LinkMessage, LinkMessageType } from "../../src/link/messages.js";

const maxFrameBytes = 10_000;
const seed = 20_261_204;

const message: fc.Arbitrary<LinkMessage> = fc.oneof(
    fc.record({
        type: fc.constant(LinkMessageType.Chunk as const),
        request: fc.string(),
        sequence: fc.nat(),
        items: fc.array(fc.string({ unit: "grapheme" }), { maxLength: 5 }),
    }, { noNullPrototype: true }),
    fc.record({ type: fc.constant(LinkMessageType.Cancel as const), request: fc.string() }, { noNullPrototype: true }),
    fc.constant({ type: LinkMessageType.Leaving as const }),
);

function splitBytes(bytes: Buffer, sizes: readonly number[]): Buffer[] {
    const parts: Buffer[] = [];
    let position = 0;
    for (let index = 0; position < bytes.length; index++) {
        const size = sizes[index % sizes.length] ?? 1;
        parts.push(bytes.subarray(position, position + size));
        position += size;
    }
    return parts;
}

function encodeUnknownType(): Buffer {
    const frame = encodeFrame({ type: LinkMessageType.Leaving });
    // The frame ends with the type, a CBOR integer of a prefix byte and a value byte.
    return Buffer.concat([frame.subarray(0, -1), Buffer.from([99])]);
}

describe("frame decoder", () => {
    test("messages are decoded unchanged however the byte stream is divided", () => {
        fc.assert(
            fc.property(
                fc.array(message, { maxLength: 8 }),
                fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 6 }),
                (messages, sizes) => {
                    const decoder = createFrameDecoder(maxFrameBytes);
                    const received: LinkMessage[] = [];
                    for (const part of splitBytes(Buffer.concat(messages.map(encodeFrame)), sizes)) {
                        const result = decoder.decode(part);
                        assert.equal(result.kind, ResultKind.Success);
                        received.push(...(result.kind === ResultKind.Success ? result.value : []));
                    }
                    assert.deepEqual(received, messages);
                },
            ),
            { seed, numRuns: 300 },
        );
    });

    test("arbitrary bytes never throw and never yield a message of an unknown type", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
                const result = createFrameDecoder(maxFrameBytes).decode(bytes);
                if (result.kind === ResultKind.Success) {
                    result.value.forEach(value => assert.ok(LinkMessageType[value.type] !== undefined));
                }
            }),
            { seed, numRuns: 1_000 },
        );
    });

    const refused: readonly (readonly [string, Buffer, FrameErrorKind])[] = [
        ["a frame over the limit", Buffer.from([0x7f, 0, 0, 0]), FrameErrorKind.TooLarge],
        ["a frame that is not CBOR", Buffer.from([0, 0, 0, 1, 0x5f]), FrameErrorKind.Malformed],
        ["a frame that holds a number", Buffer.from([0, 0, 0, 1, 0x05]), FrameErrorKind.Malformed],
        ["an unknown message type", encodeUnknownType(), FrameErrorKind.UnknownType],
    ];
    for (const [name, bytes, kind] of refused) {
        test(`${name} is refused`, () => {
            const result = createFrameDecoder(maxFrameBytes).decode(bytes);
            assert.equal(result.kind === ResultKind.Failure ? result.error.kind : undefined, kind);
        });
    }
});
