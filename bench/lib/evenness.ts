import { formatTable } from "../../src/load/loadReport.js";
import { ApertureSettings, defaultApertureSettings, selectAperture } from "../../src/routing/aperture.js";
import { makeScaleObjects, scaleDataCentres } from "./scaleObjects.js";

const entryCount = 610;
const endpointCount = 7_700;

/**
 * Formats a table of how evenly the aperture spreads entries and their load over endpoints at the two-year scale, computed
 * with the function that entries use.
 */
export function formatEvenness(): string {
    const endpoints = Object.entries(makeScaleObjects(endpointCount, 1).endpoints);
    const candidates: ApertureSettings[] = [defaultApertureSettings, { ownDataCentre: 64, otherDataCentres: 16 }];
    const rows = candidates.map(settings => {
        const entriesPerEndpoint = new Map(endpoints.map(([name]) => [name, 0]));
        const loadPerEndpoint = new Map(endpoints.map(([name]) => [name, 0]));
        let linkCount = 0;
        for (let index = 0; index < entryCount; index++) {
            const entry = { entry: `entry-${index}`, dataCentre: scaleDataCentres[index % scaleDataCentres.length]! };
            const selected = selectAperture(entry, endpoints, settings);
            linkCount += selected.length;
            const ownEndpoints = selected.filter(([, object]) => object.dataCentre === entry.dataCentre);
            for (const [name] of selected) {
                entriesPerEndpoint.set(name, entriesPerEndpoint.get(name)! + 1);
            }
            // Without overload an entry spreads its load evenly over its linked endpoints in its own data centre.
            for (const [name] of ownEndpoints) {
                loadPerEndpoint.set(name, loadPerEndpoint.get(name)! + 1 / ownEndpoints.length);
            }
        }
        const values = [...entriesPerEndpoint.values()].sort((left, right) => left - right);
        const loads = [...loadPerEndpoint.values()];
        const mean = loads.reduce((sum, value) => sum + value, 0) / loads.length;
        const deviation = Math.sqrt(loads.reduce((sum, value) => sum + (value - mean) ** 2, 0) / loads.length);
        return [
            `${settings.ownDataCentre} + ${settings.otherDataCentres}`,
            (linkCount / entryCount).toFixed(1),
            values[0]!,
            (values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(1),
            values.at(-1)!,
            values.filter(value => value === 0).length,
            (deviation / mean).toFixed(3),
            (Math.max(...loads) / mean).toFixed(2),
        ];
    });
    return formatTable(
        [
            "aperture per model (own + other data centres)",
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
