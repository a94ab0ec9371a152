import { Sink, Stream } from "most";
import { Disposable } from "./disposable.js";

/** A first-in, first-out queue of messages to one task, exposed as a `most` stream. */
export interface Mailbox<Message> extends Disposable {
    readonly messages: Stream<Message>;
    /** Adds a message. Messages that are posted after disposal are dropped. */
    post(message: Message): void;
}

/**
 * Creates a mailbox. Messages are delivered in order, each in its own microtask, never synchronously from `post`.
 *
 * The stream has a custom source because `fromEvent` of `most` clears its buffer after delivery and so loses messages
 * that are posted during delivery.
 *
 * @example
 * const mailbox = createMailbox<number>();
 * runTask(mailbox, message => console.log(message), console.error);
 * mailbox.post(1);
 */
export function createMailbox<Message>(): Mailbox<Message> {
    const sinks = new Set<(message: Message) => void>();
    const queue: Message[] = [];
    let delivering = false;
    let disposed = false;

    function deliver() {
        const next = queue.shift();
        if (next === undefined) {
            delivering = false;
            return;
        }
        // Scheduled before the sinks are called, so that later messages are delivered even if a sink throws.
        queueMicrotask(deliver);
        for (const send of sinks) {
            send(next);
        }
    }

    const messages = new Stream<Message>({
        run(sink: Sink<Message>, scheduler) {
            const send = (message: Message) => sink.event(scheduler.now(), message);
            sinks.add(send);
            return { dispose: () => void sinks.delete(send) };
        },
    });
    return {
        messages,
        post(message) {
            if (disposed) {
                return;
            }
            queue.push(message);
            if (!delivering) {
                delivering = true;
                queueMicrotask(deliver);
            }
        },
        dispose() {
            disposed = true;
            queue.length = 0;
            sinks.clear();
        },
    };
}

/**
 * Runs a task that handles the messages of its mailbox one at a time. An error thrown by `handle` is passed to
 * `reportError` and the task continues, because one invalid message must not end the process. A message that a handler
 * posts to its own mailbox is handled after the current one.
 */
export function runTask<Message>(
    mailbox: Mailbox<Message>,
    handle: (message: Message) => void,
    reportError: (error: unknown, message: Message) => void,
): Disposable {
    const pending: Message[] = [];
    let handling = false;
    mailbox.messages.observe(message => {
        pending.push(message);
        if (handling) {
            return;
        }
        handling = true;
        for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
            try {
                handle(next);
            }
            catch (error) {
                reportError(error, next);
            }
        }
        handling = false;
    }).catch((error: unknown) => {
        throw error;
    });
    return { dispose: () => mailbox.dispose() };
}
