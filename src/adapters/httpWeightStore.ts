import { request } from "undici";
import { z } from "zod";
import { WeightStore, WeightTicketKind } from "../ports/weightStore.js";

const grantSchema = z.object({ token: z.string() });
const refusalSchema = z.object({ retryAfterMs: z.number().min(0) });
const answerTimeoutMs = 5_000;
const refusedStatus = 429;

/**
 * Creates the adapter for the platform's weight store. A request throws if the store cannot be reached or answers with
 * neither a grant nor a refusal.
 *
 * @param baseUrl root URL of the service, without a trailing slash
 *
 * @example
 * const ticket = await createHttpWeightStore("http://127.0.0.1:9300").request("demo-v2");
 */
export function createHttpWeightStore(baseUrl: string): WeightStore {
    return {
        async request(weights) {
            const response = await request(`${baseUrl}/v1/weights/${encodeURIComponent(weights)}/tickets`, {
                method: "POST",
                headersTimeout: answerTimeoutMs,
                bodyTimeout: answerTimeoutMs,
            });
            const text = await response.body.text();
            if (response.statusCode === refusedStatus) {
                return { kind: WeightTicketKind.Refused, ...refusalSchema.parse(JSON.parse(text)) };
            }
            if (response.statusCode !== 200) {
                throw new Error(`weight store answered ${response.statusCode}: ${text.slice(0, 200)}`);
            }
            return { kind: WeightTicketKind.Granted, ...grantSchema.parse(JSON.parse(text)) };
        },
    };
}
