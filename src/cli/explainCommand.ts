import { request } from "undici";
import { CommandModule } from "yargs";
import { z } from "zod";
import type { Candidate } from "../gateway/candidateExplanation.js";
import type { EndpointFact } from "../gateway/endpointFacts.js";
import { ExplainedDecision, PlacementExplanation, PlacementOutcome } from "../gateway/placementExplanation.js";
import { CommandResult, endCommand, ExitCode, exitCodeHelp, formatTable, jsonOption } from "./output.js";
import { parseSettings, urlSchema } from "./settings.js";

const settingsSchema = z.object({
    gateway: urlSchema,
    customer: z.string().min(1),
    route: z.string().min(1),
    tokens: z.string().optional(),
    parts: z.string().optional(),
    deadlineMs: z.number().positive().optional(),
    json: z.boolean(),
});
type ExplainSettings = z.infer<typeof settingsSchema>;

const answerTimeoutMs = 5_000;
const explainPath = "/jujubelane/explain";
const badQueryStatuses: readonly number[] = [400, 404];

function describeDecision(decision: ExplainedDecision): string {
    const { outcome, reason, endpoint, helpers = [], firstEventMs, position, aheadElsewhere, startMs } = decision;
    if (outcome === PlacementOutcome.Placed) {
        const others = helpers.length > 0 ? ` with ${helpers.join(", ")}` : "";
        return `placed at ${endpoint}${others}, first event in ${firstEventMs} ms`;
    }
    if (outcome === PlacementOutcome.Waits) {
        const claimed = decision.claimed ? `; kept free for it: ${decision.claimed.join(", ")}` : "";
        return `waits at position ${position}, ${aheadElsewhere} ahead at other gateways, start in ${startMs} ms${claimed}`;
    }
    const start = startMs === undefined ? "" : `, start in ${Math.round(startMs)} ms`;
    const retry = decision.retryAfterMs ? `, Retry-After ${decision.retryAfterMs.join(" to ")} ms` : "";
    return `refused: ${reason}${start}${retry}`;
}

function describeFact({ kind, source, ageMs, leftMs, value }: EndpointFact): string {
    const details = [
        value === undefined ? "" : `${value}`,
        `by ${source}`,
        ageMs === undefined ? "" : `${ageMs} ms ago`,
        leftMs === undefined ? "" : `${leftMs} ms left`,
    ];
    return `${kind} (${details.filter(text => text.length > 0).join(", ")})`;
}

function describeCandidate(candidate: Candidate): readonly string[] {
    const { pendingPrefillMs, freeTokens, firstEventMs, slowdown } = candidate;
    return [
        `  ${candidate.endpoint}`,
        candidate.isChosen ? "chosen" : candidate.excludedBy ?? (candidate.isLastChoice ? "last choice" : "possible"),
        `running ${candidate.running}/${candidate.slots}`,
        pendingPrefillMs === undefined ? "" : `pending prefill ${pendingPrefillMs} ms`,
        freeTokens === undefined ? "" : `free ${Math.round(freeTokens)} tokens`,
        firstEventMs === undefined ? "" : `first event ${firstEventMs} ms`,
        slowdown === undefined ? "" : `slowdown ${slowdown.toFixed(1)}`,
        candidate.facts.map(describeFact).join(", "),
    ];
}

function describeExplanation(explanation: PlacementExplanation): readonly string[] {
    const { route, service, customer, version, share, quarantine, candidates, omitted } = explanation;
    return [
        `${route} of ${customer} to ${service ?? "no service"}, configuration ${version}: ${
            describeDecision(explanation.decision)
        }`,
        ...(share
            ? [
                `share: used ${Math.round(share.usedMs)} ms, equal share ${
                    Math.round(share.equalMs)
                } ms of ${share.customers} `
                + `customers, ${share.isAbove ? "above it" : "not above it"}`,
            ]
            : []),
        `quarantine: ${quarantine.treatment}${quarantine.trait === undefined ? "" : ` because of ${quarantine.trait}`}`,
        ...formatTable(candidates.map(describeCandidate)),
        ...(omitted > 0 ? [`  ${omitted} more`] : []),
    ];
}

function makeFailure(code: ExitCode, error: string): CommandResult {
    return { code, lines: [error], data: { error } };
}

/** Reads a field of an answer. Returns `undefined` if the answer is not a JSON object with it. */
function parseAnswer(text: string): Partial<PlacementExplanation> & { readonly error?: string } {
    try {
        const value: unknown = JSON.parse(text);
        return typeof value === "object" && value !== null ? value : {};
    }
    catch {
        return {};
    }
}

async function readExplanation(settings: ExplainSettings): Promise<CommandResult> {
    const { gateway, customer, route, tokens, parts, deadlineMs } = settings;
    const query = new URLSearchParams({
        customer,
        route,
        ...(tokens !== undefined && { tokens }),
        ...(parts !== undefined && { parts }),
        ...(deadlineMs !== undefined && { deadline_ms: String(deadlineMs) }),
    });
    try {
        const answer = await request(`${gateway}${explainPath}?${query.toString()}`, {
            headersTimeout: answerTimeoutMs,
            bodyTimeout: answerTimeoutMs,
        });
        const parsed = parseAnswer(await answer.body.text());
        if (badQueryStatuses.includes(answer.statusCode) && parsed.error !== undefined) {
            return makeFailure(ExitCode.Usage, parsed.error);
        }
        if (answer.statusCode !== 200 || !parsed.decision) {
            const error = parsed.error ?? "the address does not explain placements";
            return makeFailure(ExitCode.Unreachable, `${gateway}: status ${answer.statusCode}: ${error}`);
        }
        const explanation = parsed as PlacementExplanation;
        return {
            code: explanation.decision.outcome === PlacementOutcome.Refused ? ExitCode.Negative : ExitCode.Success,
            lines: describeExplanation(explanation),
            data: explanation,
        };
    }
    catch (error) {
        return makeFailure(ExitCode.Unreachable, `${gateway}: ${(error as Error).message || String(error)}`);
    }
}

/** `jujubelane explain` */
export const explainCommand: CommandModule = {
    command: "explain",
    describe: "show where a gateway would place a request now, and why, without sending it",
    builder: yargs =>
        yargs.options({
            gateway: {
                type: "string",
                demandOption: true,
                describe: "metrics address of a gateway, http://IP:PORT",
            },
            customer: { type: "string", demandOption: true, describe: "name of the customer" },
            route: { type: "string", demandOption: true, describe: "name of the route" },
            tokens: { type: "string", describe: "tokens of the prompt and of the output, PROMPT,OUTPUT" },
            parts: { type: "string", describe: "parts of the prompt, ID:TOKENS,..." },
            "deadline-ms": { type: "number", describe: "time limit of the request; 10000 if absent" },
            json: jsonOption,
        }).epilogue(`${exitCodeHelp} A request that would be refused is a no.`),
    handler: async argv => {
        const settings = parseSettings(settingsSchema, argv);
        endCommand(await readExplanation(settings), settings.json);
    },
};
