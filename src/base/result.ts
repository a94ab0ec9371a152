/** Tag of a {@link Result}. */
export enum ResultKind {
    Success = "success",
    Failure = "failure",
}

/** A value or a typed error. Used instead of an exception where failure is an expected outcome. */
export type Result<Value, Failure> =
    | { readonly kind: ResultKind.Success; readonly value: Value }
    | { readonly kind: ResultKind.Failure; readonly error: Failure };

/**
 * Wraps a value in a successful result.
 *
 * @example
 * makeSuccess(1);
 */
export function makeSuccess<Value>(value: Value): { readonly kind: ResultKind.Success; readonly value: Value } {
    return { kind: ResultKind.Success, value };
}

/**
 * Wraps an error in a failed result.
 *
 * @example
 * makeFailure({ code: "too-large" });
 */
export function makeFailure<Failure>(
    error: Failure,
): { readonly kind: ResultKind.Failure; readonly error: Failure } {
    return { kind: ResultKind.Failure, error };
}
