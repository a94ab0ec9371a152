import { z } from "zod";
import { EntryParts } from "../entry/entry.js";
import { defaultApertureSettings, selectAperture } from "../routing/aperture.js";
import { chooseLeastConnections, chooseRoundRobin } from "../routing/baselinePolicies.js";
import { createPredictivePolicy, defaultPredictiveSettings } from "../routing/predictivePolicy.js";

/** Names of the routing policies that `--policy` selects. */
export enum PolicyName {
    Predictive = "predictive",
    RoundRobin = "round-robin",
    LeastConnections = "least-connections",
}

/** Schema of the routing flags. */
export const routingSchema = {
    policy: z.enum(PolicyName),
    apertureOwnDataCentre: z.number().int().positive(),
    apertureOtherDataCentres: z.number().int().min(0),
    ticketKey: z.string(),
};

/** Flags of routing. */
export const routingOptions = {
    policy: {
        choices: Object.values(PolicyName),
        default: PolicyName.Predictive,
        describe: "choice of endpoints; round-robin and least-connections are baselines for measurements",
    },
    "aperture-own-data-centre": {
        type: "number",
        default: defaultApertureSettings.ownDataCentre,
        describe: "endpoints of each model or service that the entry links to in its own data centre",
    },
    "aperture-other-data-centres": {
        type: "number",
        default: defaultApertureSettings.otherDataCentres,
        describe: "endpoints of each model or service that the entry links to in other data centres",
    },
    "ticket-key": {
        type: "string",
        default: "",
        describe: "key that signs the tickets of refused requests, the same at all entries; if empty, the link key",
    },
} as const;

/** Default values of the routing flags. */
export const routingDefaults = {
    policy: PolicyName.Predictive,
    apertureOwnDataCentre: defaultApertureSettings.ownDataCentre,
    apertureOtherDataCentres: defaultApertureSettings.otherDataCentres,
    ticketKey: "",
};

type Routing = Pick<EntryParts, "policy" | "selectAperture" | "recordUsage">;

/** Creates the routing parts of an entry. */
export function createRouting(
    settings: typeof routingDefaults & { readonly name: string; readonly dataCentre: string },
): Routing {
    const entry = { entry: settings.name, dataCentre: settings.dataCentre };
    const sizes = {
        ownDataCentre: settings.apertureOwnDataCentre,
        otherDataCentres: settings.apertureOtherDataCentres,
    };
    const aperture: Routing["selectAperture"] = endpoints => selectAperture(entry, endpoints, sizes);
    switch (settings.policy) {
        case PolicyName.RoundRobin:
            return { policy: chooseRoundRobin, selectAperture: aperture };
        case PolicyName.LeastConnections:
            return { policy: chooseLeastConnections, selectAperture: aperture };
        case PolicyName.Predictive: {
            const { choose, recordUsage } = createPredictivePolicy(defaultPredictiveSettings);
            return { policy: choose, selectAperture: aperture, recordUsage };
        }
    }
}
