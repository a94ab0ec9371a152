import { Decoder, Encoder } from "cbor-x";
import { makeFailure, makeSuccess, Result } from "../base/result.js";
import { LinkMessage, LinkMessageType } from "./messages.js";

const headerBytes = 4;

/** Default limit of a frame, in bytes: holds a prompt of a million tokens at four bytes each, plus the envelope. */
export const defaultMaxFrameBytes = 16 * 1024 * 1024;

/** Tag of a {@link FrameError}. */
export enum FrameErrorKind {
    TooLarge = "too-large",
    Malformed = "malformed",
    UnknownType = "unknown-type",
}

/** Why a received frame was not accepted. The connection cannot be used afterwards. */
export interface FrameError {
    readonly kind: FrameErrorKind;
    readonly message: string;
}

const options = { useRecords: false, variableMapSize: true, tagUint8Array: false, copyBuffers: true } as const;
const encoder = new Encoder(options);
const decoder = new Decoder(options);

/**
 * Encodes a message as a frame: a 4-byte big-endian length, then the message in CBOR.
 *
 * @example
 * socket.write(encodeFrame({ type: LinkMessageType.Leaving }));
 */
export function encodeFrame(message: LinkMessage): Buffer {
    const payload = encoder.encode(message);
    const frame = Buffer.allocUnsafe(headerBytes + payload.length);
    frame.writeUInt32BE(payload.length, 0);
    payload.copy(frame, headerBytes);
    return frame;
}

/** Splits a byte stream into frames and decodes their messages. */
export interface FrameDecoder {
    /** Adds received bytes and returns the messages that are now complete. */
    decode(bytes: Uint8Array): Result<readonly LinkMessage[], FrameError>;
}

/**
 * Creates a decoder for one connection. After a failure the decoder must not be used again.
 *
 * @example
 * const decoder = createFrameDecoder(defaultMaxFrameBytes);
 * socket.on("data", bytes => handle(decoder.decode(bytes)));
 */
export function createFrameDecoder(maxFrameBytes: number): FrameDecoder {
    let parts: Uint8Array[] = [];
    let bufferedBytes = 0;
    let neededBytes = headerBytes;

    function decode(bytes: Uint8Array): Result<readonly LinkMessage[], FrameError> {
        parts.push(bytes);
        bufferedBytes += bytes.length;
        if (bufferedBytes < neededBytes) {
            return makeSuccess([]);
        }
        const buffer = parts.length === 1
            ? Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length)
            : Buffer.concat(parts);
        const messages: LinkMessage[] = [];
        let position = 0;
        neededBytes = headerBytes;
        while (buffer.length - position >= headerBytes) {
            const length = buffer.readUInt32BE(position);
            if (length > maxFrameBytes) {
                return makeFailure({
                    kind: FrameErrorKind.TooLarge,
                    message: `frame of ${length} bytes exceeds the limit of ${maxFrameBytes} bytes`,
                });
            }
            const end = position + headerBytes + length;
            if (end > buffer.length) {
                neededBytes = headerBytes + length;
                break;
            }
            const message = decodeMessage(buffer.subarray(position + headerBytes, end));
            if ("error" in message) {
                return makeFailure(message.error);
            }
            messages.push(message.value);
            position = end;
        }
        const rest = buffer.subarray(position);
        parts = rest.length === 0 ? [] : [rest];
        bufferedBytes = rest.length;
        return makeSuccess(messages);
    }

    return { decode };
}

function decodeMessage(payload: Buffer): { readonly value: LinkMessage } | { readonly error: FrameError } {
    let value: unknown;
    try {
        value = decoder.decode(payload);
    }
    catch (error) {
        return { error: { kind: FrameErrorKind.Malformed, message: `frame is not valid CBOR: ${String(error)}` } };
    }
    if (typeof value !== "object" || !value || !("type" in value)) {
        return { error: { kind: FrameErrorKind.Malformed, message: "frame payload is not a message with a type" } };
    }
    if (typeof value.type !== "number" || LinkMessageType[value.type] === undefined) {
        return { error: { kind: FrameErrorKind.UnknownType, message: `unknown message type ${String(value.type)}` } };
    }
    return { value: value as LinkMessage };
}
