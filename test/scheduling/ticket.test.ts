import fc from "fast-check";
import assert from "node:assert/strict";
import { suite, test } from "node:test";
import { makeFailure, makeSuccess } from "../../src/base/result.js";
import { formatMerge, formatPart, splitPrompt } from "../../src/scheduling/splitPrompt.js";
import { createTicketSigner, TicketFault, ticketLifetimeMs } from "../../src/scheduling/ticket.js";

suite("queue-position tickets", () => {
    const signer = createTicketSigner("key");
    const subject = { customer: "planner", rank: "bulk" };
    const issuedMs = 1_000_000;
    const ticket = signer.sign({ ...subject, firstArrivalMs: issuedMs - 5_000 }, issuedMs);
    const [payload, proof] = ticket.split(".");
    const otherPayload = Buffer.from(JSON.stringify({ ...subject, firstArrivalMs: 0, expiresMs: 1e15 }))
        .toString("base64url");
    const cases: readonly (readonly [string, string, typeof subject, number, TicketFault | undefined])[] = [
        ["a ticket keeps the first arrival", ticket, subject, issuedMs + 2_000, undefined],
        [
            "a ticket signed with another key",
            createTicketSigner("other").sign({ ...subject, firstArrivalMs: 0 }, issuedMs),
            subject,
            issuedMs,
            TicketFault.Forged,
        ],
        [
            "an earlier arrival with a copied signature",
            `${otherPayload}.${proof}`,
            subject,
            issuedMs,
            TicketFault.Forged,
        ],
        ["a truncated ticket", payload!, subject, issuedMs, TicketFault.Malformed],
        ["text that is not a ticket", "x".repeat(5_000), subject, issuedMs, TicketFault.Malformed],
        ["another customer's ticket", ticket, { ...subject, customer: "other" }, issuedMs, TicketFault.OtherCustomer],
        ["a ticket for a less urgent rank", ticket, { ...subject, rank: "urgent" }, issuedMs, TicketFault.OtherRank],
        ["an expired ticket", ticket, subject, issuedMs + ticketLifetimeMs, TicketFault.Expired],
    ];
    for (const [name, text, request, nowMs, fault] of cases) {
        test(`${name}: ${fault ?? "accepted"}`, () => {
            const expected = fault === undefined
                ? makeSuccess({ firstArrivalMs: issuedMs - 5_000, waitedMs: 7_000 })
                : makeFailure(fault);
            assert.deepEqual(signer.verify(text, request, nowMs), expected);
        });
    }
});

test("splitting a prompt loses and repeats no character, splits no line that fits and keeps parts within the size", () => {
    const text = fc.array(fc.oneof(fc.string({ unit: "binary", maxLength: 30 }), fc.constant("\n")), { maxLength: 60 })
        .map(parts => parts.join(""));
    fc.assert(
        fc.property(text, fc.integer({ min: 4, max: 64 }), (prompt, maxBytes) => {
            const parts = splitPrompt(prompt, maxBytes);
            assert.equal(parts.join(""), prompt);
            parts.forEach(part => assert.ok(Buffer.byteLength(part) <= maxBytes));
            let cut = 0;
            for (const part of parts.slice(0, -1)) {
                cut += part.length;
                const end = prompt.indexOf("\n", cut);
                const line = prompt.slice(prompt.lastIndexOf("\n", cut - 1) + 1, end < 0 ? undefined : end + 1);
                assert.ok(part.endsWith("\n") || Buffer.byteLength(line) > maxBytes, "a line that fits was split");
            }
        }),
        { seed: 4, numRuns: 500 },
    );
    assert.match(formatPart("b\n", 1, 2, "begin"), /part 2 of 2[^]*begin[^]*b\n$/);
    assert.match(formatMerge(["one", "two"], "begin"), /begin[^]*one[^]*two/);
});
