/**
 * Whether a request may have run on an endpoint.
 */
export enum Verdict {
    /** Certain: no endpoint ran any part of the request. A retry is always safe. */
    NotRun = "not-run",
    /** Unknown: the request may have run, in part or as a whole. */
    MayHaveRun = "may-have-run",
    /** Certain: the request ran to its end. */
    Ran = "ran",
}

/**
 * Combines the verdicts of several attempts of one request into the verdict of the request.
 *
 * @example
 * mergeVerdicts([Verdict.NotRun, Verdict.MayHaveRun]); // Verdict.MayHaveRun
 */
export function mergeVerdicts(verdicts: readonly Verdict[]): Verdict {
    if (verdicts.includes(Verdict.Ran)) {
        return Verdict.Ran;
    }
    return verdicts.includes(Verdict.MayHaveRun) ? Verdict.MayHaveRun : Verdict.NotRun;
}
