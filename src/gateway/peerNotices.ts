import { Decoder, Encoder } from "cbor-x";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";

/** Gateway that sent a notice. */
export interface NoticeSender {
    readonly host: string;
    /** Address at which the sender receives messages. */
    readonly address: string;
    /** Changes each time the sender starts. */
    readonly incarnation: string;
}

/** Facts of one kind that gateways tell each other. Times are sent as ages, because the clocks of hosts differ. */
export interface NoticeTopic<Notice> {
    /** Name on the wire. */
    readonly name: string;
    /** Whether gateways of other cells are told too. */
    readonly isForAllCells: boolean;
    /** Checks a received value, which can come from anywhere. */
    readonly isValid: (value: unknown) => value is Notice;
    onReceived(notices: readonly Notice[], sender: NoticeSender): void;
    /** Lists what is in force at this gateway. It is repeated with each snapshot, since messages can be lost. */
    listCurrent(): readonly Notice[];
}

/** Sends a topic's notices. */
export interface NoticePublisher<Notice> {
    /** Sends notices to all gateways of the topic, or to the one at the address. */
    publish(notices: readonly Notice[], address?: string): void;
}

/** Topics of notices between gateways. */
export interface PeerNotices {
    register<Notice>(topic: NoticeTopic<Notice>): NoticePublisher<Notice>;
    /** Sends what is in force in all topics, to all gateways or to the one at the address. */
    repeat(address?: string): void;
    /** Applies a datagram. Returns whether it is a message of notices, valid or not. */
    receive(bytes: Buffer, senderAddress: string): boolean;
}

export interface PeerNoticesOptions extends NoticeSender {
    readonly log: EventLog;
    readonly send: (bytes: Buffer, isForAllCells: boolean, address?: string) => void;
}

/** Keeps a message within one datagram of a usual network. */
const noticesPerMessage = 40;
/** Senders of malformed messages that are remembered, so that each of them is logged once. */
const maxLoggedSenders = 64;
const messageKind = "notices";
const messageVersion = 1;
/** First byte of a message: a CBOR array of seven elements. Load messages, which are more frequent, have others. */
const firstByte = 0x87;
const options = { useRecords: false, tagUint8Array: false } as const;
const encoder = new Encoder(options);
const decoder = new Decoder(options);

type WireMessage = [string, number, string, string, string, string, unknown[]];

interface RegisteredTopic {
    readonly isForAllCells: boolean;
    /** Applies received values. Returns how many were malformed. */
    apply(values: readonly unknown[], sender: NoticeSender): number;
    listCurrent(): readonly unknown[];
    repeats: number;
}

/**
 * Creates notices without topics. A message has the notices of one topic; gateways that do not know the topic, or no
 * notices at all, ignore it.
 *
 * @example
 * const publisher = notices.register(topic);
 * publisher.publish([["engine-1", 1_700_000_000_000, 0]]);
 */
export function createPeerNotices({ host, address, incarnation, log, send }: PeerNoticesOptions): PeerNotices {
    const topics = new Map<string, RegisteredTopic>();
    const loggedSenders = new Set<string>();

    function sendNotices(
        name: string,
        isForAllCells: boolean,
        values: readonly unknown[],
        target?: string,
    ): void {
        for (let start = 0; start < values.length; start += noticesPerMessage) {
            const part = values.slice(start, start + noticesPerMessage);
            const wire: WireMessage = [messageKind, messageVersion, host, address, incarnation, name, part];
            send(encoder.encode(wire), isForAllCells, target);
        }
    }

    /** Selects the notices of one repeat. If there are more, each repeat has the next ones. */
    function selectRepeated(topic: RegisteredTopic): readonly unknown[] {
        const values = topic.listCurrent();
        if (values.length <= noticesPerMessage) {
            return values;
        }
        const start = (topic.repeats++ * noticesPerMessage) % values.length;
        return [...values, ...values].slice(start, start + noticesPerMessage);
    }

    function logMalformed(sender: string, topic: string | undefined): void {
        if (!loggedSenders.has(sender) && loggedSenders.size < maxLoggedSenders) {
            loggedSenders.add(sender);
            log(LogEvent.PeerNoticeMalformed, { sender, topic });
        }
    }

    return {
        register(topic) {
            topics.set(topic.name, {
                isForAllCells: topic.isForAllCells,
                apply(values, sender) {
                    const valid = values.filter(topic.isValid);
                    if (valid.length > 0) {
                        topic.onReceived(valid, sender);
                    }
                    return values.length - valid.length;
                },
                listCurrent: () => topic.listCurrent(),
                repeats: 0,
            });
            return { publish: (notices, target) => sendNotices(topic.name, topic.isForAllCells, notices, target) };
        },
        repeat(target) {
            topics.forEach((topic, name) => sendNotices(name, topic.isForAllCells, selectRepeated(topic), target));
        },
        receive(bytes, senderAddress) {
            const wire = bytes[0] === firstByte ? decodeWire(bytes) : undefined;
            if (!Array.isArray(wire) || wire[0] !== messageKind) {
                return false;
            }
            if (!isWireMessage(wire)) {
                logMalformed(senderAddress, undefined);
                return true;
            }
            const [, , senderHost, sender, senderIncarnation, name, values] = wire;
            // Gateways send from the address at which they receive.
            if (sender === senderAddress && sender !== address) {
                const malformed = topics.get(name)
                    ?.apply(values, { host: senderHost, address: sender, incarnation: senderIncarnation });
                if (malformed) {
                    logMalformed(senderAddress, name);
                }
            }
            return true;
        },
    };
}

function decodeWire(bytes: Buffer): unknown {
    try {
        return decoder.decode(bytes) as unknown;
    }
    catch {
        // Not CBOR, and thereby no message.
        return undefined;
    }
}

function isWireMessage(wire: readonly unknown[]): wire is WireMessage {
    const [, version, host, address, incarnation, name, values] = wire;
    return version === messageVersion && Array.isArray(values)
        && [host, address, incarnation, name].every(field => typeof field === "string");
}
