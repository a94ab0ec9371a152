import { request } from "undici";
import { z } from "zod";
import { HostList, HostState } from "../ports/hostList.js";

const hostSchema = z.object({
    name: z.string(),
    dataCentre: z.string(),
    address: z.string(),
    port: z.number().int(),
    state: z.enum(HostState),
});
const hostsSchema = z.array(hostSchema);
const answerTimeoutMs = 5_000;

/**
 * Creates the adapter for the platform's host list, which is read with `GET /hosts`.
 *
 * @param baseUrl root URL of the service, without a trailing slash
 *
 * @example
 * const hosts = await createHttpHostList("http://127.0.0.1:9200").read();
 */
export function createHttpHostList(baseUrl: string): HostList {
    return {
        async read() {
            const response = await request(`${baseUrl}/hosts`, {
                headersTimeout: answerTimeoutMs,
                bodyTimeout: answerTimeoutMs,
            });
            const text = await response.body.text();
            if (response.statusCode !== 200) {
                throw new Error(`host list answered ${response.statusCode}: ${text.slice(0, 200)}`);
            }
            return hostsSchema.parse(JSON.parse(text));
        },
    };
}
