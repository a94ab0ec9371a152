/** Faults of an emulated log service. Each append that a counter affects decrements it. */
export interface LogFaults {
    /** Every call is refused and has no effect. */
    readonly unavailable: boolean;
    /** Calls have no effect and receive no answer. */
    readonly unresponsive: boolean;
    /** Time between the effect of a call and its answer, in milliseconds. */
    readonly answerDelayMs: number;
    /** Appends that take effect and whose answer is lost. */
    readonly lostAnswers: number;
    /** Appends that never take effect and whose answer is lost. */
    readonly lostAppends: number;
    /** Appends whose answer is lost and that take effect after `lateAppendMs`. */
    readonly lateAppends: number;
    /** Delay of a late append, in milliseconds. */
    readonly lateAppendMs: number;
    /** Appends that are written twice. */
    readonly duplicatedAppends: number;
}

/** A service without faults. */
export const noLogFaults: LogFaults = {
    unavailable: false,
    unresponsive: false,
    answerDelayMs: 0,
    lostAnswers: 0,
    lostAppends: 0,
    lateAppends: 0,
    lateAppendMs: 0,
    duplicatedAppends: 0,
};
