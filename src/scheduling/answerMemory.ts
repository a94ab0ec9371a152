/** An answer that a gateway holds bytes of. */
export interface HeldAnswer {
    /** Bytes held, whether or not the customer could read them already. */
    readonly heldBytes: number;
    /** Whether the answer is being assembled, so that its customer cannot read it yet. */
    readonly isAssembling: boolean;
    /** Whether the endpoint has sent all of the answer. */
    readonly isComplete: boolean;
    /** Time since the customer had last read all that was sent, in milliseconds. */
    readonly behindMs: number;
    /** Bytes that the customer has read in that time. */
    readonly readBytes: number;
    /** Time since the customer last read any bytes, in milliseconds. */
    readonly unreadMs: number;
}

/**
 * A complete answer is protected while its customer has read some of it within this time, in milliseconds. Reading shows
 * only when a third of the kernel's send buffer is free, so that slow readers make progress in large steps.
 */
const maxPauseMs = 5_000;
/** Share of the bound that is freed at a time, so that the choice is not made for each piece that arrives. */
const freedShare = 1 / 16;

/** Order in which answers are ended. */
enum EndOrder {
    Delayed,
    StillRead,
    Assembling,
}

/**
 * Selects the answers that are ended when the bound of all answers together is exceeded. Load pattern: many customers
 * that stop reading, or read slowly, while others read normally.
 *
 * Answers whose customers need the longest to read what is held come first. Complete answers that are still being read
 * follow, since their work is done, and then those whose customers cannot read yet. Returns an empty list while the bound
 * is met.
 *
 * @example
 * selectAnswersToEnd(answers, 75e6).forEach(answer => answer.end());
 */
export function selectAnswersToEnd<Answer extends HeldAnswer>(
    answers: readonly Answer[],
    maxBytes: number,
): readonly Answer[] {
    let heldBytes = answers.reduce((sum, answer) => sum + answer.heldBytes, 0);
    if (heldBytes <= maxBytes) {
        return [];
    }
    const ordered = answers.filter(answer => answer.heldBytes > 0)
        .map(answer => ({ answer, order: getEndOrder(answer), readMs: predictReadMs(answer) }))
        .sort((left, right) =>
            left.order - right.order
            || right.readMs - left.readMs
            || right.answer.heldBytes - left.answer.heldBytes
        );
    const selected: Answer[] = [];
    for (const { answer } of ordered) {
        if (heldBytes <= maxBytes * (1 - freedShare)) {
            break;
        }
        selected.push(answer);
        heldBytes -= answer.heldBytes;
    }
    return selected;
}

function getEndOrder(answer: HeldAnswer): EndOrder {
    if (answer.isAssembling) {
        return EndOrder.Assembling;
    }
    return answer.isComplete && answer.unreadMs < maxPauseMs ? EndOrder.StillRead : EndOrder.Delayed;
}

/** Predicts the time in which the customer reads what is held, at its rate since it fell behind, in milliseconds. */
function predictReadMs({ heldBytes, readBytes, behindMs }: HeldAnswer): number {
    // One byte more than was read keeps the order by size among customers that have read nothing.
    return heldBytes * behindMs / (readBytes + 1);
}
