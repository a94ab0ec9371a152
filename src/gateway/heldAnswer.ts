import { RawHeaders } from "../ports/exchange.js";
import { CustomerAnswer } from "./customerAnswer.js";

/** An answer that may be held back until it is whole, so that its customer gets all of it or none. */
export interface HeldAnswer extends CustomerAnswer {
    /** Whether the answer has been held back, until it was whole or another one was sent. */
    wasHeld(): boolean;
}

export interface HeldAnswerOptions {
    /** Returns whether an answer that begins now must be held. */
    readonly mustHold: () => boolean;
    /** Called when the answer has become too long to be held. */
    readonly onTooLong: () => void;
}

/** Largest answer that is held, in bytes. */
export const maxHeldBytes = 8 * 1024 * 1024;

/**
 * Wraps the answer to a customer. While it is held, `isStarted` tells whether an endpoint has begun it; the wrapped
 * answer tells whether the customer has a part of it.
 *
 * @example
 * const held = createHeldAnswer(answer, { mustHold: () => drainControl.mustHold(request), onTooLong: fail });
 * held.start(200, headers);
 * held.write(events);
 * held.end(); // sends the whole answer with its length
 */
export function createHeldAnswer(answer: CustomerAnswer, options: HeldAnswerOptions): HeldAnswer {
    let head: { readonly status: number; readonly headers: RawHeaders } | undefined;
    let pieces: Buffer[] = [];
    let bytes = 0;
    let wasHeld = false;

    function takeBody(): Buffer {
        const body = Buffer.concat(pieces);
        pieces = [];
        answer.account?.changeAssembled(-bytes);
        bytes = 0;
        head = undefined;
        return body;
    }

    return {
        ...answer,
        wasHeld: () => wasHeld,
        isStarted: () => head !== undefined || answer.isStarted(),
        start(status, headers) {
            if (options.mustHold()) {
                head = { status, headers };
                wasHeld = true;
            }
            else {
                answer.start(status, headers);
            }
        },
        write(piece) {
            if (!head) {
                answer.write(piece);
                return;
            }
            pieces.push(piece);
            bytes += piece.length;
            answer.account?.changeAssembled(piece.length);
            if (bytes > maxHeldBytes) {
                options.onTooLong();
            }
        },
        end() {
            if (!head) {
                answer.end();
                return;
            }
            const { status, headers } = head;
            answer.sendComplete(status, headers, takeBody());
        },
        sendComplete(status, headers, body) {
            takeBody();
            answer.sendComplete(status, headers, body);
        },
        abort() {
            takeBody();
            answer.abort();
        },
    };
}
