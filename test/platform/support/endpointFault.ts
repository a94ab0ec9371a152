/** A fault that an endpoint simulates for one request. */
export enum EndpointFault {
    None = "none",
    /** Refuses the request without running it. */
    Full = "full",
    /** Runs the request and answers 500. */
    Error = "error",
    /** Answers 503 and does not say whether the request has run. */
    Unavailable = "unavailable",
    /** Closes the connection before the first byte of the answer. */
    CloseBeforeAnswer = "break-before",
    /** Closes the connection within an event of a stream, or within the body of a plain answer. */
    CloseWithinAnswer = "break-within",
    /** Never answers and keeps the connection open. */
    Silent = "silent",
    /** Like `Silent`, and accepts no more connections, as after a power failure. */
    PowerLoss = "dark",
    /** Answers with the id of another request. */
    WrongRequestId = "foreign-id",
    /** Omits the response seal, which proves that the endpoint sent the answer. */
    Unsealed = "unsealed",
    /** Declares a content encoding. */
    Encoded = "encoded",
    /** Sends an unsolicited second answer after the first one. */
    DuplicateAnswer = "doubled",
    /** Sends an answer without a length that ends with the connection. */
    Unframed = "unframed",
    /** Like `Unframed`, but resets the connection before the body is complete. */
    UnframedReset = "unframed-reset",
    /** Like `Unframed`, but ends the connection in order within an event of a stream. */
    UnframedWithinAnswer = "unframed-within",
    /** Like `Unframed`, but the endpoint ends between two events of a stream, or within the body of a plain answer. */
    UnframedCrash = "unframed-crash",
    /** Like `Unframed`, some time after the endpoint has stopped accepting connections. */
    UnframedLast = "unframed-last",
    /** Makes long pauses between the events of a stream, or before a plain answer. */
    Slow = "slow",
}
