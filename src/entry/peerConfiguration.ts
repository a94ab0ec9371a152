import * as net from "node:net";
import { EventLog } from "../base/log.js";
import { RandomSource } from "../base/randomSource.js";
import { TimerService } from "../base/timerService.js";
import { ConfigurationMessage, LinkMessageType } from "../link/messages.js";
import { HostList, HostRecord } from "../ports/hostList.js";
import { openConnection } from "./linkOpening.js";

/** Settings of the search for a configuration among peers. */
export interface PeerSearchSettings {
    readonly entry: string;
    readonly dataCentre: string;
    readonly linkKey: string;
    readonly maxFrameBytes: number;
    /** Maximum number of sidecars to ask, selected at random from the host list. */
    readonly maxPeers: number;
    /** Time limit of the whole search, in milliseconds. */
    readonly timeoutMs: number;
}

/** Dependencies of the search. */
export interface PeerSearchParts {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly hostList: HostList;
    readonly connect: (host: HostRecord) => net.Socket;
    readonly makeIncarnation: () => string;
}

/** Default settings of the search that do not depend on the entry. */
export const defaultPeerSearch = { maxPeers: 32, timeoutMs: 1_500 } as const;

/**
 * Requests the configurations of sidecars. An entry that starts does not know any endpoints yet, so it takes the
 * sidecars from the host list. Sidecars that have no configuration, refuse the key or do not respond in time are left
 * out. Never throws.
 *
 * @example
 * const messages = await findPeerConfigurations(settings, parts);
 */
export async function findPeerConfigurations(
    settings: PeerSearchSettings,
    parts: PeerSearchParts,
): Promise<readonly ConfigurationMessage[]> {
    const hosts = await parts.hostList.read().catch(() => []);
    const picked = pickHosts(hosts, settings.maxPeers, parts.random);
    const answers = await Promise.all(picked.map(host => askPeer(host, settings, parts)));
    return answers.filter(answer => answer !== undefined);
}

function pickHosts(hosts: readonly HostRecord[], count: number, random: RandomSource): readonly HostRecord[] {
    return hosts
        .map(host => ({ host, order: random() }))
        .sort((left, right) => left.order - right.order)
        .slice(0, count)
        .map(({ host }) => host);
}

function askPeer(
    host: HostRecord,
    settings: PeerSearchSettings,
    parts: PeerSearchParts,
): Promise<ConfigurationMessage | undefined> {
    // A separate incarnation keeps the sidecar from replacing the entry's link by this connection.
    const opening = { ...settings, incarnation: parts.makeIncarnation() };
    return new Promise(resolve => {
        function end(answer?: ConfigurationMessage) {
            timer.dispose();
            connection.dispose();
            resolve(answer);
        }

        const timer = parts.timers.schedule(settings.timeoutMs, () => end());
        const connection = openConnection(parts.connect(host), undefined, opening, parts.timers, parts.log, {
            handleOpened(welcome) {
                if (welcome.generation < 0) {
                    end();
                    return;
                }
                connection.send({ type: LinkMessageType.ConfigurationRequest });
            },
            handleMessage(message) {
                if (message.type === LinkMessageType.Configuration) {
                    end(message);
                }
            },
            handleClosed: () => end(),
        });
    });
}
