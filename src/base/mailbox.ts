import { fromEvent, Stream } from "most";
import { EventEmitter } from "node:events";
import { Disposable } from "./disposable.js";

/** An ordered queue of messages to one task, offered as a `most` stream. */
export interface Mailbox<Message> extends Disposable {
    readonly messages: Stream<Message>;
    /** Adds a message. Messages posted after disposal are dropped. */
    post(message: Message): void;
}

const messageEvent = "message";

/**
 * Creates a mailbox.
 *
 * @example
 * const mailbox = createMailbox<number>();
 * runTask(mailbox, message => console.log(message), console.error);
 * mailbox.post(1);
 */
export function createMailbox<Message>(): Mailbox<Message> {
    const emitter = new EventEmitter();
    const messages = fromEvent(messageEvent, emitter) as unknown as Stream<Message>;
    let disposed = false;
    return {
        messages,
        post(message) {
            if (!disposed) {
                emitter.emit(messageEvent, message);
            }
        },
        dispose() {
            disposed = true;
            emitter.removeAllListeners();
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
