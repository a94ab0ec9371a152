/** Number of engines and how many of them were busy at one time. */
export interface EngineSample {
    /** Time since the start of the sampler, in milliseconds. */
    readonly atMs: number;
    /** Engines with at least one running request. */
    readonly busyEngines: number;
    readonly engines: number;
}

/** Polls engines and computes how busy they were. */
export interface EngineSampler {
    /** Mean share of the engines that had a running request between two times since the start, from 0 to 1. */
    computeBusyShare(fromMs: number, toMs: number): number;
    stop(): void;
}

const sampleIntervalMs = 250;

/** Starts polling `GET /v1/load` of each engine; an engine that does not answer counts as idle. */
export function startEngineSampler(urls: readonly string[]): EngineSampler {
    const startedMs = performance.now();
    const samples: EngineSample[] = [];
    let sampling = false;

    async function takeSample() {
        if (sampling) {
            return;
        }
        sampling = true;
        const reports = await Promise.all(urls.map(async url => {
            try {
                return await (await fetch(`${url}/v1/load`)).json() as { readonly running: number };
            }
            catch {
                return { running: 0 };
            }
        }));
        samples.push({
            atMs: performance.now() - startedMs,
            busyEngines: reports.filter(report => report.running > 0).length,
            engines: reports.length,
        });
        sampling = false;
    }

    const timer = setInterval(() => void takeSample(), sampleIntervalMs);
    return {
        computeBusyShare(fromMs, toMs) {
            const samplesInRange = samples.filter(sample => sample.atMs >= fromMs && sample.atMs < toMs);
            const engines = samplesInRange.reduce((sum, sample) => sum + sample.engines, 0);
            return engines === 0 ? 0 : samplesInRange.reduce((sum, sample) => sum + sample.busyEngines, 0) / engines;
        },
        stop: () => clearInterval(timer),
    };
}
