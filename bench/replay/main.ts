import { createRoundRobinPlacement, placeLeastConnections } from "../../src/routing/baselinePlacement.js";
import { chooseClaim, ClaimPolicy } from "../../src/routing/engineClaim.js";
import { PlacementPolicy, placeOnEngines } from "../../src/routing/enginePlacement.js";
import { replayLoads } from "./loads.js";
import { computeValueShare, runReplay } from "./replay.js";

const seeds = [1, 2, 3, 4, 5];
const claimNothing: ClaimPolicy = () => undefined;
const policies: readonly [string, () => PlacementPolicy, ClaimPolicy][] = [
    ["predictive", () => placeOnEngines, chooseClaim],
    ["predictive, no engines freed", () => placeOnEngines, claimNothing],
    ["least connections", () => placeLeastConnections, claimNothing],
    ["round robin", createRoundRobinPlacement, claimNothing],
];

/**
 * Renders a table with one row per load and policy: the share of the total value that was served within its targets,
 * and by kind the number of requests within their targets and of requests submitted.
 */
export function renderReplayTable(): string {
    const lines = ["| load | policy | worth in aim | in aim of asked, by kind |", "|---|---|---|---|"];
    for (const load of replayLoads) {
        for (const [name, createPolicy, claimPolicy] of policies) {
            const runs = seeds.map(seed => runReplay(load, createPolicy(), seed, claimPolicy));
            const valueShare = runs.reduce((sum, results) => sum + computeValueShare(load, results), 0) / runs.length;
            const kinds = load.kinds.map((kind, index) => {
                const withinTargets = runs.reduce((sum, results) => sum + results[index]!.withinTargets, 0);
                const submitted = runs.reduce((sum, results) => sum + results[index]!.submitted, 0);
                const share = runs.reduce((sum, results) => sum + results[index]!.valueShare, 0) / runs.length;
                return `${kind.name} ${withinTargets}/${submitted} (${share.toFixed(2)})`;
            });
            lines.push(`| ${load.name} | ${name} | ${valueShare.toFixed(3)} | ${kinds.join(", ")} |`);
        }
    }
    return lines.join("\n");
}
