import { readFile } from "node:fs/promises";
import { computeCeiling, relaxations } from "./ceiling.js";
import { CeilingInput, collectCeilingInput, parseDeploymentFile } from "./ceilingInput.js";

/**
 * Reads log lines of gateways and a deployment file, and renders upper bounds of the requests on time by kind.
 *
 * @example
 * console.log(await renderCeilingReport("gateways.log", "deployment.json"));
 */
export async function renderCeilingReport(logPath: string, deploymentPath: string): Promise<string> {
    const file = parseDeploymentFile(await readFile(deploymentPath, "utf8"));
    return renderCeiling(collectCeilingInput((await readFile(logPath, "utf8")).split("\n"), file));
}

/** Renders the bounds and what they rest on. */
export function renderCeiling(input: CeilingInput): string {
    const { requests, deployment, observedOnTime, unused } = input;
    const observedTotal = [...observedOnTime.values()].reduce((sum, count) => sum + count, 0);
    const bounds = computeCeiling(requests, deployment);
    const rows = bounds.map((bound, index) => {
        const observed = index === bounds.length - 1 ? observedTotal : observedOnTime.get(bound.name) ?? 0;
        const values = `${bound.mostValue.toFixed(1)} of ${bound.fullValue.toFixed(1)}`;
        const note = observed > bound.mostOnTime ? " (above the bound: the deployment file does not match)" : "";
        return `| ${bound.name} | ${bound.submitted} | ${bound.mostOnTime} | ${bound.leastLate} | ${bound.impossible} | `
            + `${bound.binding} | ${values} | ${observed}${note} |`;
    });
    const unusedLines = [...unused].sort(([, left], [, right]) => right - left)
        .map(([reason, count]) => `- ${count}: ${reason}`);
    return [
        "| kind | requests | on time at most | late or refused at least | impossible alone | bound by | value at most | on time in the log |",
        "|---|---|---|---|---|---|---|---|",
        ...rows,
        "",
        "The bound rests on these relaxations and assumptions:",
        ...relaxations.map(text => `- ${text}`),
        `- a prompt is split over at most ${deployment.maxParts} engines, and no part of it is cached`,
        `- ${input.derivedPrompts} prompt lengths were derived from \`readMs\`, because \`promptTokens\` is missing`,
        `- ${input.assumedEvents} requests were not answered to the end: each counts with the fewest events of its route`,
        "- requests that were refused on arrival need nothing, because their lines have no lengths",
        "",
        unusedLines.length === 0 ? "All lines were used." : "Lines that were not used:",
        ...unusedLines,
    ].join("\n");
}
