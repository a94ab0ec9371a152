import { ConfigurationRecordType } from "../config/changeSet.js";
import { makeCheckpoint, parseCheckpoint } from "../config/checkpoint.js";
import { computeConfigurationDigest } from "../config/digest.js";
import { FoldState } from "../config/fold.js";
import { Configuration } from "../config/objects.js";
import { ConfigurationMessage, LinkMessageType } from "./messages.js";

/** Builds the message that sends a folded state to a peer. */
export function buildConfigurationMessage(state: FoldState, current: Configuration): ConfigurationMessage {
    const { shift, changed, deleted, ids, digest } = makeCheckpoint(state);
    return {
        type: LinkMessageType.Configuration,
        generation: current.generation,
        digest: current.digest,
        objects: current.objects,
        foldedOffset: state.foldedOffset,
        fold: { shift, changed, deleted, ids, digest },
    };
}

/** Parses and verifies a peer's message. Returns the state, or the reason why the message is refused. */
export function parseConfigurationMessage(message: ConfigurationMessage): FoldState | string {
    const { generation, foldedOffset, objects, fold } = message;
    if (!fold) {
        return "the peer's configuration does not come from a log";
    }
    const type = ConfigurationRecordType.Checkpoint;
    const checkpoint = parseCheckpoint({ type, generation, foldedOffset, objects, restart: false, ...fold });
    if (typeof checkpoint === "string") {
        return checkpoint;
    }
    return computeConfigurationDigest(checkpoint.state.objects) === message.digest
        ? checkpoint.state
        : "the configuration does not match its digest";
}
