import assert from "node:assert/strict";
import { test } from "node:test";
import { createMailbox, runTask } from "../../src/base/mailbox.js";

test("a message that a handler posts while a batch is delivered is not lost", async () => {
    const mailbox = createMailbox<string>();
    const handled: string[] = [];
    runTask(mailbox, message => {
        handled.push(message);
        if (message.length < 3) {
            mailbox.post(`${message}+`);
        }
        if (message === "b") {
            throw new Error("one bad message");
        }
    }, () => handled.push("error"));
    mailbox.post("a");
    mailbox.post("b");
    await new Promise(resolve => setImmediate(resolve));
    mailbox.post("c++");
    await new Promise(resolve => setImmediate(resolve));
    assert.deepEqual(handled, ["a", "b", "error", "a+", "b+", "a++", "b++", "c++"]);
});
