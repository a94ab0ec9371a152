// Measures only the latency and the resource usage that the entry adds, without the other benchmarks:
// node out/bench/entryCost.js [--quick] [--profile DIRECTORY] [--seed SEED]
// With --rate R --stream-rate S it does one run at R requests/s with streams of S tokens/s.
// --profile writes processor profiles of the entry and the first sidecar.
import { loadavg } from "node:os";
import { parseArgs } from "node:util";
import { measureEntryCost, measureStreams } from "./lib/entryCost.js";
import { formatMeasures } from "./lib/results.js";

const { values: options } = parseArgs({
    options: {
        quick: { type: "boolean", default: false },
        profile: { type: "string" },
        seed: { type: "string" },
        rate: { type: "string" },
        "stream-rate": { type: "string", default: "60" },
    },
});
const nodeArgs = options.profile === undefined ? [] : ["--cpu-prof", `--cpu-prof-dir=${options.profile}`];
const seed = Number(options.seed ?? 44);
const seconds = options.quick ? 6 : 12;
const cost = options.rate === undefined
    ? await measureEntryCost(options.quick, seed, nodeArgs)
    : await measureStreams(Number(options.rate), Number(options["stream-rate"]), seconds, seed, nodeArgs);
console.log([formatMeasures(cost.measures), ...cost.notes, `load average ${loadavg()[0]!.toFixed(1)}`].join("\n\n"));
process.exit(0);
