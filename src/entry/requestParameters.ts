import * as http from "node:http";
import { buildRequestError, ErrorCode, RequestError } from "../base/requestError.js";
import { makeFailure, makeSuccess, Result } from "../base/result.js";
import { Verdict } from "../base/verdict.js";
import { Configuration, findObject } from "../config/objects.js";
import { AuthenticatedCustomer } from "./customerIndex.js";
import { getHeader, HeaderName } from "./httpMessages.js";

/** Parameters of a request that its headers set. */
export interface RequestParameters {
    readonly rank: string;
    readonly kind: string;
    readonly limitMs: number;
}

/** Maximum time limit that a customer may request, in milliseconds. */
const maxTimeLimitMs = 24 * 60 * 60 * 1000;

function refuse(code: ErrorCode, message: string) {
    return makeFailure(buildRequestError(code, message, Verdict.NotRun));
}

/**
 * Reads rank, kind and time limit from a request's headers. The kind defaults to the customer's; rank and time limit
 * default to `defaults`, then to the kind's rank and the rank's time limit.
 *
 * @example
 * const parameters = readRequestParameters(request.headers, customer, configuration);
 */
export function readRequestParameters(
    headers: http.IncomingHttpHeaders,
    customer: AuthenticatedCustomer,
    configuration: Configuration,
    defaults: { readonly rank?: string; readonly limitMs?: number } = {},
): Result<RequestParameters, RequestError> {
    const { kinds, ranks } = configuration.objects;
    const kind = getHeader(headers, HeaderName.Kind) ?? customer.object.defaultKind;
    const kindObject = findObject(kinds, kind);
    if (!kindObject) {
        return refuse(ErrorCode.BadRequest, `unknown kind "${kind}"; configured: ${Object.keys(kinds).join(", ")}`);
    }
    const rank = getHeader(headers, HeaderName.Rank) ?? defaults.rank ?? kindObject.rank;
    const rankObject = findObject(ranks, rank);
    if (!rankObject) {
        return refuse(ErrorCode.UnknownRank, `unknown rank "${rank}"; configured: ${Object.keys(ranks).join(", ")}`);
    }
    if (customer.object.ranks.length > 0 && !customer.object.ranks.includes(rank)) {
        return refuse(ErrorCode.Forbidden, `customer "${customer.name}" may not use rank "${rank}"`);
    }
    const timeLimitText = getHeader(headers, HeaderName.TimeLimit);
    const limitMs = timeLimitText === undefined ? defaults.limitMs ?? rankObject.timeLimitMs : Number(timeLimitText);
    if (!Number.isInteger(limitMs) || limitMs <= 0 || limitMs > maxTimeLimitMs) {
        return refuse(
            ErrorCode.BadRequest,
            `${HeaderName.TimeLimit}: expected an integer from 1 to ${maxTimeLimitMs}, found "${timeLimitText}"`,
        );
    }
    return makeSuccess({ rank, kind, limitMs });
}
