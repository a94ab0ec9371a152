import { build, Histogram } from "hdr-histogram-js";

/** Label values of one series. */
export type MetricLabels = Readonly<Record<string, string>>;

/** Counters, gauges and histograms of one process, rendered in the Prometheus text exposition format. */
export interface Metrics {
    /** Adds to a counter. The `help` of the first call for a name is rendered. */
    count(name: string, help: string, labels?: MetricLabels, amount?: number): void;
    /** Removes the series of a counter that have these labels, so that labels whose values change stay bounded. */
    remove(name: string, labels: MetricLabels): void;
    /** Records a duration in milliseconds. The series is rendered as a summary in seconds. */
    recordDuration(name: string, help: string, durationMs: number, labels?: MetricLabels): void;
    /** Registers a gauge; `read` is called each time the metrics are rendered. */
    registerGauge(name: string, help: string, read: () => number): void;
    render(): string;
}

enum MetricKind {
    Counter = "counter",
    Gauge = "gauge",
    Summary = "summary",
}

interface MetricFamily {
    readonly kind: MetricKind;
    readonly help: string;
    readonly counters: Map<string, number>;
    readonly histograms: Map<string, { readonly histogram: Histogram; sumMs: number }>;
    readonly read?: () => number;
}

const quantiles = [0.5, 0.9, 0.95, 0.99];
const millisecondsPerSecond = 1000;
const microsecondsPerMillisecond = 1000;
const highestTrackableMicroseconds = 24 * 60 * 60 * 1e6;

/**
 * Creates the metrics of one process.
 *
 * @example
 * const metrics = createMetrics();
 * metrics.count("jujubelane_requests_total", "Requests by result.", { result: "completed" });
 */
export function createMetrics(): Metrics {
    const families = new Map<string, MetricFamily>();

    function getFamily(name: string, kind: MetricKind, help: string, read?: () => number): MetricFamily {
        let family = families.get(name);
        if (!family) {
            family = { kind, help, counters: new Map(), histograms: new Map(), read };
            families.set(name, family);
        }
        return family;
    }

    return {
        count(name, help, labels = {}, amount = 1) {
            const { counters } = getFamily(name, MetricKind.Counter, help);
            const key = formatLabels(labels);
            counters.set(key, (counters.get(key) ?? 0) + amount);
        },
        remove(name, labels) {
            const { counters } = families.get(name) ?? {};
            const wanted = Object.entries(labels).map(([label, value]) => formatLabels({ [label]: value }));
            [...counters?.keys() ?? []].filter(key => wanted.every(label => `,${key},`.includes(`,${label},`)))
                .forEach(key => counters!.delete(key));
        },
        recordDuration(name, help, durationMs, labels = {}) {
            const { histograms } = getFamily(name, MetricKind.Summary, help);
            const key = formatLabels(labels);
            let series = histograms.get(key);
            if (!series) {
                series = {
                    histogram: build({
                        lowestDiscernibleValue: 1,
                        highestTrackableValue: highestTrackableMicroseconds,
                        numberOfSignificantValueDigits: 2,
                    }),
                    sumMs: 0,
                };
                histograms.set(key, series);
            }
            series.histogram.recordValue(Math.max(1, Math.round(durationMs * microsecondsPerMillisecond)));
            series.sumMs += durationMs;
        },
        registerGauge(name, help, read) {
            getFamily(name, MetricKind.Gauge, help, read);
        },
        render() {
            return [...families].flatMap(([name, family]) => renderFamily(name, family)).join("\n") + "\n";
        },
    };
}

function formatLabels(labels: MetricLabels): string {
    return Object.entries(labels)
        .map(([name, value]) => `${name}="${value.replace(/\\/g, "\\\\").replace(/"/g, '\\"').replace(/\n/g, "\\n")}"`)
        .join(",");
}

function wrapLabels(labels: string): string {
    return labels.length > 0 ? `{${labels}}` : "";
}

function renderFamily(name: string, family: MetricFamily): string[] {
    const lines = [`# HELP ${name} ${family.help}`, `# TYPE ${name} ${family.kind}`];
    for (const [labels, value] of family.counters) {
        lines.push(`${name}${wrapLabels(labels)} ${value}`);
    }
    for (const [labels, series] of family.histograms) {
        const prefix = labels.length > 0 ? `${labels},` : "";
        for (const quantile of quantiles) {
            const seconds = series.histogram.getValueAtPercentile(quantile * 100)
                / microsecondsPerMillisecond / millisecondsPerSecond;
            lines.push(`${name}{${prefix}quantile="${quantile}"} ${seconds}`);
        }
        lines.push(`${name}_sum${wrapLabels(labels)} ${series.sumMs / millisecondsPerSecond}`);
        lines.push(`${name}_count${wrapLabels(labels)} ${series.histogram.totalCount}`);
    }
    if (family.read) {
        lines.push(`${name} ${family.read()}`);
    }
    return lines;
}
