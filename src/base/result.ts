/** Tag of a {@link Result}. */
export enum ResultKind {
    Success = "success",
    Failure = "failure",
}

/** A value or a typed error; used where a failure is an expected outcome. */
export type Result<Value, Failure> =
    | { readonly kind: ResultKind.Success; readonly value: Value }
    | { readonly kind: ResultKind.Failure; readonly error: Failure };

/**
 * Wraps a value.
 *
 * @example
 * makeSuccess(1);
 */
export function makeSuccess<Value>(value: Value): { readonly kind: ResultKind.Success; readonly value: Value } {
    return { kind: ResultKind.Success, value };
}

/**
 * Wraps an error.
 *
 * @example
 * makeFailure({ code: "too-large" });
 */
export function makeFailure<Failure>(
    error: Failure,
): { readonly kind: ResultKind.Failure; readonly error: Failure } {
    return { kind: ResultKind.Failure, error };
}
