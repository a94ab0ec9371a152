import { Sink, Stream } from "most";
import { Disposable } from "./disposable.js";

/** An ordered queue of messages to one task, offered as a `most` stream. */
export interface Mailbox<Message> extends Disposable {
    readonly messages: Stream<Message>;
    /** Adds a message. Messages posted after disposal are dropped. */
    post(message: Message): void;
}

/**
 * Creates a mailbox. Messages are delivered in a microtask after the current code, in order.
 *
 * The stream has a source of its own: `fromEvent` of `most` clears its buffer after it has delivered it, and so loses
 * what is posted during the delivery.
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
        // Scheduled first, so that an error thrown by a sink does not stop what follows.
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
 * Runs a task: handles the messages of its mailbox one after another. An error thrown by `handle` is reported and the
 * task goes on, because one bad message must not end a process. A message that a handler posts to its own mailbox is
 * handled after the current one.
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
