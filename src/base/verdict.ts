/**
 * Whether a request may have run on an endpoint.
 */
export enum Verdict {
    /** No endpoint ran any part of the request, so a retry is always safe. */
    NotRun = "not-run",
    /** It is not known whether the request ran, in part or completely. */
    MayHaveRun = "may-have-run",
    /** The request ran to completion. */
    Ran = "ran",
}

/**
 * Combines the verdicts of a request's attempts into the verdict of the request.
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
