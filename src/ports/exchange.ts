/** Size of a prompt and of its answer, in tokens. */
export interface PromptSize {
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** The customer's own estimate of the output; often far off. */
    readonly outputHint?: number;
}

/** Header names and values in turn, as they stand on the wire. */
export type RawHeaders = readonly string[];

/** What the gateway needs to know of a customer's request before its body. */
export interface RequestHead {
    readonly id?: string;
    /** API key. */
    readonly key?: string;
    /** Time that the customer waits, in milliseconds from the arrival. */
    readonly deadlineMs?: number;
    readonly prompt?: PromptSize;
    /** Id of the last event that the customer has, where it continues a broken stream. */
    readonly lastEventId?: number;
    /** Headers that go on to the endpoint. */
    readonly forwarded: RawHeaders;
}

/** An endpoint that reads a part of a prompt, with the reservation that holds the part's memory. */
export interface HelperTarget {
    readonly address: string;
    readonly reservation?: string;
}

/** What the gateway adds to a request for one endpoint. */
export interface DispatchHead {
    /** Endpoint that is meant; another one at this address refuses the request. */
    readonly endpointId: string;
    /** Time left, in milliseconds. */
    readonly remainingMs: number;
    readonly customer?: string;
    readonly rank: number;
    readonly lastEventId?: number;
    readonly helpers: readonly HelperTarget[];
    /** Address of the endpoint. */
    readonly address: string;
    /** Host name that the customer addressed. */
    readonly host: string;
}

/** What the head of an endpoint's answer says. */
export interface AnswerHead {
    readonly status: number;
    /** Id of the request that this answers, if the endpoint names it. */
    readonly requestId?: string;
    /** Whether the answer bears the endpoint's proof of origin. */
    readonly isSealed: boolean;
    /** Whether the endpoint states that it did not and will not run the request. */
    readonly isNotRun: boolean;
    /** Whether another endpoint than the one that was meant has this address. */
    readonly isMisdirected: boolean;
    /**
     * Whether the head says how the body ends. Without that the body ends with the connection, and one that a crash cut
     * cannot be told from a whole one.
     */
    readonly isFramed: boolean;
    /** Whether the body is encoded, which customers never ask for. */
    readonly isEncoded: boolean;
    /** Address or id of the endpoint at fault, where it is another than the one that answered. */
    readonly faultyEndpoint?: string;
    /** Headers that go on to the customer. */
    readonly forwarded: RawHeaders;
}

/** Translates heads of requests and answers between the wire and the gateway. */
export interface ExchangeCodec {
    decodeRequest(headers: RawHeaders): RequestHead;
    encodeDispatch(head: RequestHead, dispatch: DispatchHead): string[];
    decodeAnswer(status: number, headers: RawHeaders): AnswerHead;
    /** Headers of an answer that the gateway makes itself. */
    encodeOwnAnswer(head: RequestHead | undefined): string[];
}
