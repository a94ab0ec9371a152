import { createRoundRobinPlacement, placeLeastConnections } from "../../src/routing/baselinePlacement.js";
import { PlacementPolicy, placeOnEngines } from "../../src/routing/enginePlacement.js";
import { replayLoads } from "./loads.js";
import { computeWorthShare, runReplay } from "./replay.js";

const seeds = [1, 2, 3, 4, 5];
const policies: readonly [string, () => PlacementPolicy][] = [
    ["predictive", () => placeOnEngines],
    ["least connections", () => placeLeastConnections],
    ["round robin", createRoundRobinPlacement],
];

/** Prints the table of policies and loads: share of worth in aim, and by kind the requests in aim of those asked. */
export function renderReplayTable(): string {
    const lines = ["| load | policy | worth in aim | in aim of asked, by kind |", "|---|---|---|---|"];
    for (const load of replayLoads) {
        for (const [name, createPolicy] of policies) {
            const runs = seeds.map(seed => runReplay(load, createPolicy(), seed));
            const worth = runs.reduce((sum, results) => sum + computeWorthShare(load, results), 0) / runs.length;
            const kinds = load.kinds.map((kind, index) => {
                const inAim = runs.reduce((sum, results) => sum + results[index]!.inAim, 0);
                const asked = runs.reduce((sum, results) => sum + results[index]!.asked, 0);
                return `${kind.name} ${inAim}/${asked}`;
            });
            lines.push(`| ${load.name} | ${name} | ${worth.toFixed(3)} | ${kinds.join(", ")} |`);
        }
    }
    return lines.join("\n");
}
