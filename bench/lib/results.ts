import { formatMs, formatTable } from "../../src/load/loadReport.js";
import { Experiment } from "./experiment.js";
import { isMet, Measure, TargetKind } from "./measures.js";

/** Measures of one run under a policy. */
export interface PolicyResult {
    readonly policy: string;
    readonly measures: readonly Measure[];
    /** Lag of the load tool and resource usage of the fleet, as text. */
    readonly tool: string;
    /** p99 of the delay with which the load tool sent requests after their planned time, in milliseconds. */
    readonly toolLagMs: number;
}

/** Above this lag of the load tool, the times of a run depend more on the load of the machine than on the product. */
const disturbedLagMs = 50;

function formatValue(measure: Measure | undefined): string {
    if (measure?.value === undefined) {
        return "no data";
    }
    return measure.unit === "ms"
        ? `${formatMs(measure.value)} ms`
        : `${measure.value.toFixed(3)} ${measure.unit}`.trim();
}

function formatVerdict(measure: Measure): string {
    const met = isMet(measure);
    return met === undefined ? "" : met ? "met" : "**not met**";
}

/** Formats the results of an experiment as Markdown; the first policy is the product's, the others are baselines. */
export function formatComparison(experiment: Experiment, results: readonly PolicyResult[]): string {
    const [product, ...baselines] = results;
    const headings = [
        "measure",
        "target",
        product!.policy,
        "",
        ...baselines.flatMap(result => [result.policy, "ratio"]),
    ];
    const rows = product!.measures.map(measure => [
        measure.name,
        measure.kind === TargetKind.Informational ? "" : `${measure.kind} ${Number(measure.target!.toFixed(3))}`,
        formatValue(measure),
        formatVerdict(measure),
        ...baselines.flatMap(result => {
            const other = result.measures.find(candidate => candidate.name === measure.name);
            const ratio = measure.value === undefined || !other?.value ? "" : (measure.value / other.value).toFixed(2);
            return [formatValue(other), ratio];
        }),
    ]);
    return [
        `## ${experiment.name}, seed ${experiment.seed}`,
        `Scale: ${experiment.scale.join("; ")}.`,
        "The ratio is the product's value divided by the baseline's.",
        formatTable(headings, rows),
        ...results.map(result => {
            const warning = result.toolLagMs > disturbedLagMs ? "**Disturbed run:** the machine was too busy. " : "";
            return `${result.policy}: ${warning}${result.tool}`;
        }),
    ].join("\n\n");
}

/** Formats measures without baselines as a Markdown table. */
export function formatMeasures(measures: readonly Measure[]): string {
    return formatTable(
        ["measure", "target", "measured", ""],
        measures.map(measure => [
            measure.name,
            measure.kind === TargetKind.Informational ? "" : `${measure.kind} ${measure.target} ${measure.unit}`,
            formatValue(measure),
            formatVerdict(measure),
        ]),
    );
}
