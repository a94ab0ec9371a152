import { computeDigest } from "../../src/base/ids.js";
import { ConfigurationObjects } from "../../src/config/objects.js";
import { configurationSchema } from "../../src/config/schema.js";

/** Data centres of the two-year scale: 2 regions with 3 data centres each. */
export const scaleDataCentres = ["north-1", "north-2", "north-3", "south-1", "south-2", "south-3"];
const scaleModels = ["m1", "m2", "m3", "m4", "m5", "m6", "m7"];

/**
 * Makes a configuration with the given numbers of endpoints and customers. The endpoints are spread over the data centres
 * and models of the two-year scale.
 */
export function makeScaleObjects(endpoints: number, customers: number): ConfigurationObjects {
    const version = (model: string) => `${model}-v1`;
    return configurationSchema.parse({
        models: Object.fromEntries(scaleModels.map(model => [model, { version: version(model) }])),
        versions: Object.fromEntries(scaleModels.map(model => [version(model), { model, weights: version(model) }])),
        ranks: {
            urgent: { urgency: 0, timeLimitMs: 5_000 },
            normal: { urgency: 1, timeLimitMs: 60_000 },
            bulk: { urgency: 2, timeLimitMs: 3_600_000 },
        },
        kinds: { question: { rank: "normal" }, summary: { rank: "bulk" } },
        customers: Object.fromEntries([...Array(customers).keys()].map(index => [
            `customer-${index}`,
            { keyDigests: [computeDigest(`key-${index}`)], defaultKind: "question" },
        ])),
        endpoints: Object.fromEntries([...Array(endpoints).keys()].map(index => [
            `runner-${index}`,
            {
                host: `host-${index}`,
                dataCentre: scaleDataCentres[index % scaleDataCentres.length],
                model: scaleModels[Math.floor(index / scaleDataCentres.length) % scaleModels.length],
                checksFencing: true,
            },
        ])),
    });
}
