/** Size of a prompt and its output, in tokens. */
export interface PromptSize {
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** The customer's own estimate of the output length; often inaccurate. */
    readonly outputTokensHint?: number;
}

/** Alternating header names and values, as received or sent. */
export type RawHeaders = readonly string[];

/** Fields that the gateway reads from the headers of a customer's request before its body arrives. */
export interface RequestHead {
    readonly id?: string;
    /** API key. */
    readonly key?: string;
    /** Time limit that the customer sets, in milliseconds from the request's arrival. */
    readonly deadlineMs?: number;
    readonly prompt?: PromptSize;
    /**
     * Ids of the parts of the prompt that other requests may share, in order. The last part belongs to the request itself
     * and is left out.
     */
    readonly sharedPromptParts: readonly string[];
    /** Text that is the same for the same prompt, if the headers describe one. */
    readonly promptIdentity?: string;
    /** Id of the last event that the customer received; set when it resumes a broken stream. */
    readonly lastEventId?: number;
    /** Headers that are forwarded to the endpoint. */
    readonly forwarded: RawHeaders;
}

/** An endpoint that prefills a part of a split prompt, with the reservation of memory for that part. */
export interface HelperTarget {
    readonly address: string;
    readonly reservation?: string;
}

/** Fields that the gateway adds to a request when it dispatches the request to an endpoint. */
export interface DispatchHead {
    /** Id of the intended endpoint. A different endpoint at this address refuses the request. */
    readonly endpointId: string;
    /** Time until the request's deadline, in milliseconds. */
    readonly remainingMs: number;
    readonly customer?: string;
    readonly rank: number;
    readonly lastEventId?: number;
    readonly helpers: readonly HelperTarget[];
    /** Address of the endpoint. */
    readonly address: string;
    /** Host name from the customer's request, sent in the `Host` header. */
    readonly host: string;
}

/** Status and headers of an endpoint's answer. */
export interface AnswerHead {
    readonly status: number;
    /** Id of the answered request, if the endpoint returns it. */
    readonly requestId?: string;
    /** Whether the answer carries the header that proves that the endpoint produced it. */
    readonly isSealed: boolean;
    /** Whether the endpoint guarantees that it did not and will not run the request. */
    readonly isNotRun: boolean;
    /** Whether the address belongs to a different endpoint than the intended one (HTTP status 421). */
    readonly isMisdirected: boolean;
    /**
     * Whether the headers delimit the body (`content-length`, or `transfer-encoding` with `chunked` as the last coding).
     * Otherwise a body ends when the connection closes, and one that is truncated by a crash looks complete.
     */
    readonly isFramed: boolean;
    /** Whether the body has a content encoding. Requests never ask for one. */
    readonly isEncoded: boolean;
    /** Requests a second that the endpoint accepts from all gateways together, if it names a limit. */
    readonly requestsPerSecond?: number;
    /** Time that the endpoint stays cold, in milliseconds, if it reports it. */
    readonly coldMs?: number;
    /** Whether the endpoint says that it leaves and takes no new work. */
    readonly isLeaving: boolean;
    /** Time after which the endpoint asks to be tried again, in milliseconds; NaN if the value is not a number. */
    readonly retryAfterMs?: number;
    /** Id of the endpoint that answered, if the answer names it. */
    readonly answeredBy?: string;
    /** Address or id of the endpoint that failed, if it is not the one that answered. */
    readonly faultyEndpoint?: string;
    /** Headers that are forwarded to the customer. */
    readonly forwarded: RawHeaders;
}

/** Converts the headers of requests and answers between wire format and the gateway's types. */
export interface ExchangeCodec {
    decodeRequest(headers: RawHeaders): RequestHead;
    encodeDispatch(head: RequestHead, dispatch: DispatchHead): string[];
    decodeAnswer(status: number, headers: RawHeaders): AnswerHead;
    /** Encodes the headers of an answer that the gateway generates itself. */
    encodeGatewayAnswer(head: RequestHead | undefined): string[];
}
