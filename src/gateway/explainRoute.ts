import { parseExplainQuery } from "./explainQuery.js";
import { PlacementExplainer } from "./placementExplanation.js";
import { TextAnswer } from "./textServer.js";

/** Path at which placements are explained. */
export const explainPath = "/jujubelane/explain";

/**
 * Renders the answer to a request for an explanation. Returns `undefined` for other paths.
 *
 * @param target path and query of the request
 *
 * @example
 * renderExplanation("/jujubelane/explain?customer=planner&route=look", explain)?.status;
 */
export function renderExplanation(target: string, explain: PlacementExplainer): TextAnswer | undefined {
    const [path, ...rest] = target.split("?");
    if (path !== explainPath) {
        return undefined;
    }
    const query = parseExplainQuery(new URLSearchParams(rest.join("?")));
    if (typeof query === "string") {
        return renderJson(400, { error: query });
    }
    const result = explain(query);
    return "error" in result
        ? renderJson(result.status, { error: result.error })
        : renderJson(result.status, result.explanation);
}

function renderJson(status: number, value: object): TextAnswer {
    return { status, text: JSON.stringify(value), isJson: true };
}
