import { formatTable } from "../../src/load/loadReport.js";
import { ApertureSettings, defaultApertureSettings, selectAperture } from "../../src/routing/aperture.js";
import { makeScaleObjects, scaleDataCentres } from "./slopeInputs.js";

const entries = 610;
const endpoints = 7_700;

/**
 * Formats a table of how evenly the aperture spreads entries and their load over endpoints at the two-year scale, computed
 * with the function that entries use.
 */
export function formatEvenness(): string {
    const list = Object.entries(makeScaleObjects(endpoints, 1).endpoints);
    const candidates: ApertureSettings[] = [defaultApertureSettings, { ownDataCentre: 64, otherDataCentres: 16 }];
    const rows = candidates.map(settings => {
        const counts = new Map(list.map(([name]) => [name, 0]));
        const weights = new Map(list.map(([name]) => [name, 0]));
        let links = 0;
        for (let index = 0; index < entries; index++) {
            const entry = { entry: `entry-${index}`, dataCentre: scaleDataCentres[index % scaleDataCentres.length]! };
            const selected = selectAperture(entry, list, settings);
            links += selected.length;
            const own = selected.filter(([, object]) => object.dataCentre === entry.dataCentre);
            for (const [name] of selected) {
                counts.set(name, counts.get(name)! + 1);
            }
            // Without overload an entry spreads its load evenly over its linked endpoints in its own data centre.
            for (const [name] of own) {
                weights.set(name, weights.get(name)! + 1 / own.length);
            }
        }
        const values = [...counts.values()].sort((left, right) => left - right);
        const load = [...weights.values()];
        const mean = load.reduce((sum, value) => sum + value, 0) / load.length;
        const deviation = Math.sqrt(load.reduce((sum, value) => sum + (value - mean) ** 2, 0) / load.length);
        return [
            `${settings.ownDataCentre} + ${settings.otherDataCentres}`,
            (links / entries).toFixed(1),
            values[0]!,
            (values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(1),
            values.at(-1)!,
            values.filter(value => value === 0).length,
            (deviation / mean).toFixed(3),
            (Math.max(...load) / mean).toFixed(2),
        ];
    });
    return formatTable(
        [
            "aperture per model (own + other dataCentres)",
            "links per entry",
            "entries per endpoint, least",
            "mean",
            "most",
            "unknown endpoints",
            "deviation of load",
            "largest load / mean",
        ],
        rows,
    );
}
