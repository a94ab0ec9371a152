import { z } from "zod";

/** A request whose placement is to be explained. */
export interface ExplainQuery {
    readonly customer: string;
    readonly route: string;
    readonly promptTokens?: number;
    readonly outputTokens?: number;
    /** Ids of the parts of the prompt. */
    readonly parts: readonly string[];
    readonly deadlineMs: number;
}

/** Longest list of prompt parts. */
const maxParts = 64;
const maxNameLength = 256;
const maxTokens = 100_000_000;
const maxDeadlineMs = 86_400_000;
const defaultDeadlineMs = 10_000;

const nameSchema = z.string().min(1).max(maxNameLength);
const tokensSchema = z.string().regex(/^\d{1,9},\d{1,9}$/, "expected PROMPT,OUTPUT")
    .transform(text => text.split(",").map(Number) as [number, number])
    .refine(counts => counts.every(count => count <= maxTokens), "too many tokens");
const partsSchema = z.string()
    .transform(text => text.split(","))
    .refine(parts => parts.length <= maxParts, `at most ${maxParts} parts`)
    .refine(parts => parts.every(part => /^[^:]{1,256}:\d{1,9}$/.test(part)), "expected ID:TOKENS,...")
    .transform(parts => parts.map(part => part.split(":")[0]!));
const deadlineSchema = z.string().regex(/^\d+$/, "expected milliseconds").transform(Number)
    .refine(deadlineMs => deadlineMs > 0 && deadlineMs <= maxDeadlineMs, "out of range");

/** Parameters of a query, as text. */
export const explainQuerySchema = z.strictObject({
    customer: nameSchema,
    route: nameSchema,
    tokens: tokensSchema.optional(),
    parts: partsSchema.optional(),
    deadline_ms: deadlineSchema.optional(),
});

/**
 * Parses a query. Returns a text that names the errors of a malformed one.
 *
 * @example
 * parseExplainQuery(new URLSearchParams("customer=planner&route=draft&tokens=1000,100"));
 */
export function parseExplainQuery(parameters: URLSearchParams): ExplainQuery | string {
    const names = [...parameters.keys()];
    const repeated = names.find((name, index) => names.indexOf(name) !== index);
    if (repeated !== undefined) {
        return `${repeated}: given more than once`;
    }
    const parsed = explainQuerySchema.safeParse(Object.fromEntries(parameters));
    if (!parsed.success) {
        return parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`.replace(/^: /, ""))
            .join("; ");
    }
    const { customer, route, tokens, parts = [], deadline_ms: deadlineMs = defaultDeadlineMs } = parsed.data;
    return { customer, route, promptTokens: tokens?.[0], outputTokens: tokens?.[1], parts, deadlineMs };
}
