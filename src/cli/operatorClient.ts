import { request } from "undici";
import { Options } from "yargs";
import { z } from "zod";
import type { EntryStatus } from "../entry/operatorRoute.js";
import { urlSchema } from "./settings.js";

/** Flags of commands that send requests to entries. */
export const entryClientOptions: Record<string, Options> = {
    entry: { type: "string", array: true, demandOption: true, describe: "root URL of an entry; may be repeated" },
    key: { type: "string", default: "", describe: "API key of an operator (or JUJUBELANE_KEY)" },
};

/** Schema of the values of {@link entryClientOptions}. */
export const entryClientSchema = {
    entry: z.array(urlSchema).min(1),
    key: z.string().min(1, "expected the API key of an operator"),
};

/** Answer of one entry, or the error if there is none. */
export type EntryAnswer<Value> =
    | { readonly url: string; readonly value: Value; readonly error?: undefined }
    | { readonly url: string; readonly value?: undefined; readonly error: string };

const answerTimeoutMs = 5_000;

/** Sends an operator's request to one entry. Never throws. */
export async function callEntry<Value>(
    url: string,
    key: string,
    method: "GET" | "POST",
    path: string,
    body?: object,
): Promise<EntryAnswer<Value>> {
    try {
        const response = await request(`${url}${path}`, {
            method,
            headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
            body: body && JSON.stringify(body),
            headersTimeout: answerTimeoutMs,
            bodyTimeout: answerTimeoutMs,
        });
        const text = await response.body.text();
        if (response.statusCode >= 300) {
            return { url, error: `status ${response.statusCode}: ${readErrorMessage(text)}` };
        }
        return { url, value: JSON.parse(text) as Value };
    }
    catch (error) {
        return { url, error: (error as Error).message || String(error) };
    }
}

function readErrorMessage(text: string): string {
    try {
        const parsed = z.object({ error: z.object({ message: z.string() }) }).safeParse(JSON.parse(text));
        return parsed.success ? parsed.data.error.message : text;
    }
    catch {
        return text;
    }
}

/** Reads the status of all entries in parallel. */
export function readStatuses(urls: readonly string[], key: string): Promise<readonly EntryAnswer<EntryStatus>[]> {
    return Promise.all(urls.map(url => callEntry<EntryStatus>(url, key, "GET", "/operator/status")));
}

/** Lists the entries that gave no answer, with the reason. */
export function listErrors(answers: readonly EntryAnswer<unknown>[]): readonly string[] {
    return answers.flatMap(answer => answer.error === undefined ? [] : [`${answer.url}: ${answer.error}`]);
}
