import * as net from "node:net";
import { RandomSource } from "../base/randomSource.js";
import { TimerService } from "../base/timerService.js";
import { createLinkConnection, LinkConnection } from "../link/connection.js";
import { LinkRole, makeNonce, signHandshake, verifyHandshake } from "../link/handshake.js";
import {
    ChallengeMessage,
    ConfigurationMessage,
    LinkMessage,
    LinkMessageType,
    linkProtocolVersion,
    WelcomeMessage,
} from "../link/messages.js";
import { HostList, HostRecord } from "../ports/hostList.js";

/** Settings of the search for a configuration at peers. */
export interface PeerSearchSettings {
    readonly entry: string;
    readonly place: string;
    readonly linkKey: string;
    readonly maxFrameBytes: number;
    /** Sidecars that are asked, picked at random from the host list. */
    readonly maxPeers: number;
    /** Time for all answers, in milliseconds. */
    readonly timeoutMs: number;
}

/** What the search uses. */
export interface PeerSearchParts {
    readonly timers: TimerService;
    readonly random: RandomSource;
    readonly hostList: HostList;
    readonly connect: (host: HostRecord) => net.Socket;
    readonly makeIncarnation: () => string;
}

/** Default settings of the search that do not depend on the entry. */
export const defaultPeerSearch = { maxPeers: 32, timeoutMs: 1_500 } as const;

/**
 * Asks sidecars for the configuration that they hold. An entry that starts knows no endpoints yet, so it goes by the
 * host list. Sidecars that hold none, refuse the key or do not answer in time are left out. Never throws.
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
    const nonce = makeNonce();
    let sidecarNonce: Uint8Array | undefined;
    let isOpen = false;
    return new Promise(resolve => {
        function end(answer?: ConfigurationMessage) {
            timer.dispose();
            connection.dispose();
            resolve(answer);
        }

        function answerChallenge(message: ChallengeMessage) {
            sidecarNonce = message.nonce;
            const { entry, place, linkKey } = settings;
            const proof = signHandshake(linkKey, LinkRole.Entry, message.nonce, nonce);
            // The incarnation is one of its own, so that the question does not displace the entry's link.
            const incarnation = parts.makeIncarnation();
            const version = linkProtocolVersion;
            connection.send({ type: LinkMessageType.Hello, version, entry, incarnation, place, nonce, proof });
        }

        function acceptWelcome(message: WelcomeMessage) {
            const isVerified = sidecarNonce
                && verifyHandshake(settings.linkKey, LinkRole.Sidecar, sidecarNonce, nonce, message.proof);
            if (!isVerified || message.generation < 0) {
                end();
                return;
            }
            isOpen = true;
            connection.send({ type: LinkMessageType.ConfigurationRequest });
        }

        function handleMessage(message: LinkMessage) {
            if (message.type === LinkMessageType.Challenge) {
                answerChallenge(message);
            }
            else if (message.type === LinkMessageType.Welcome) {
                acceptWelcome(message);
            }
            else if (message.type === LinkMessageType.Configuration && isOpen) {
                end(message);
            }
        }

        const timer = parts.timers.schedule(settings.timeoutMs, () => end());
        const connection: LinkConnection = createLinkConnection(parts.connect(host), settings.maxFrameBytes, {
            handleMessages: messages => messages.forEach(handleMessage),
            handleClosed: () => end(),
            handleFrameError: () => end(),
        });
    });
}
