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
    apertureOwnPlace: z.number().int().positive(),
    apertureOtherPlaces: z.number().int().min(0),
    ticketKey: z.string(),
};

/** Flags of routing. */
export const routingOptions = {
    policy: {
        choices: Object.values(PolicyName),
        default: PolicyName.Predictive,
        describe: "choice of endpoints; round-robin and least-connections are baselines for measurements",
    },
    "aperture-own-place": {
        type: "number",
        default: defaultApertureSettings.ownPlace,
        describe: "endpoints of each model or service in the entry's place that it links to",
    },
    "aperture-other-places": {
        type: "number",
        default: defaultApertureSettings.otherPlaces,
        describe: "endpoints of each model or service in other places that it links to",
    },
    "ticket-key": {
        type: "string",
        default: "",
        describe: "key that signs tickets of refused callers, shared by all entries; the link key when empty",
    },
} as const;

/** Default values of the routing flags. */
export const routingDefaults = {
    policy: PolicyName.Predictive,
    apertureOwnPlace: defaultApertureSettings.ownPlace,
    apertureOtherPlaces: defaultApertureSettings.otherPlaces,
    ticketKey: "",
};

type Routing = Pick<EntryParts, "policy" | "selectAperture" | "recordUsage">;

/** Creates the routing parts of an entry. */
export function createRouting(
    settings: typeof routingDefaults & { readonly name: string; readonly place: string },
): Routing {
    const entry = { entry: settings.name, place: settings.place };
    const sizes = { ownPlace: settings.apertureOwnPlace, otherPlaces: settings.apertureOtherPlaces };
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
