const bodylessMethod = "HEAD";
const bodylessStatuses: readonly number[] = [204, 304];

/**
 * Returns whether an answer with this final status to a request with this method has a body, which may be empty (RFC 9110,
 * section 6.4.1).
 *
 * @example
 * hasAnswerBody("GET", 304); // false
 */
export function hasAnswerBody(method: string | undefined, status: number): boolean {
    return method !== bodylessMethod && !bodylessStatuses.includes(status);
}
