import { formatMs, formatTable } from "../../src/load/loadReport.js";
import { Experiment } from "./experiment.js";
import { isMet, Measure, TargetKind } from "./measures.js";

/** The measures of one policy. */
export interface PolicyResult {
    readonly policy: string;
    readonly measures: readonly Measure[];
    readonly tool: string;
    /** How late the load tool sent, p99, in milliseconds. */
    readonly toolLagMs: number;
}

/** Lateness of the load tool above which the times of a run say more about the machine than about the product. */
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

/** Formats the comparison of the policies of an experiment; the first policy is the product, the others baselines. */
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
        measure.kind === TargetKind.Shown ? "" : `${measure.kind} ${Number(measure.target!.toFixed(3))}`,
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

/** Formats measures that have no baseline. */
export function formatMeasures(measures: readonly Measure[]): string {
    return formatTable(
        ["measure", "target", "measured", ""],
        measures.map(measure => [
            measure.name,
            measure.kind === TargetKind.Shown ? "" : `${measure.kind} ${measure.target} ${measure.unit}`,
            formatValue(measure),
            formatVerdict(measure),
        ]),
    );
}
