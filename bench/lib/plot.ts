import * as vega from "vega";
import * as vegaLite from "vega-lite";

/** One point of the plot. */
export interface PlotRow {
    readonly experiment: string;
    readonly policy: string;
    readonly phase: string;
    readonly length: string;
    readonly firstTokenP95Ms: number;
}

/** Renders the p95 of the time to the first token by phase, prompt length and policy as SVG. */
export async function renderPlot(rows: readonly PlotRow[], title: string): Promise<string> {
    const spec: vegaLite.TopLevelSpec = {
        $schema: "https://vega.github.io/schema/vega-lite/v6.json",
        title,
        data: { values: rows.map(row => ({ ...row, panel: `${row.experiment}: ${row.phase}` })) },
        facet: { field: "panel", type: "nominal", title: null },
        columns: 3,
        spec: {
            width: 220,
            height: 150,
            mark: { type: "point", filled: true, size: 60 },
            encoding: {
                x: {
                    field: "length",
                    type: "nominal",
                    sort: ["<=1k", "<=4k", "<=32k", "<=128k", "<=1M"],
                    title: "prompt tokens",
                },
                y: {
                    field: "firstTokenP95Ms",
                    type: "quantitative",
                    scale: { type: "log" },
                    title: "p95 first token, ms",
                },
                color: { field: "policy", type: "nominal" },
                shape: { field: "policy", type: "nominal" },
            },
        },
    };
    const view = new vega.View(vega.parse(vegaLite.compile(spec).spec), { renderer: "none" });
    return view.toSVG();
}
