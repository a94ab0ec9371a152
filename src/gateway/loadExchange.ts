import { createSocket, RemoteInfo } from "node:dgram";
import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { LoadLedger, WorkItem, WorkPhase } from "../routing/loadLedger.js";
import { CrashNotice, decodeLoadMessage, encodeLoadMessage, LoadMessage } from "./loadMessage.js";

/** Changes other than new work are collected for this time and sent in one message, in milliseconds. */
const batchDelayMs = 5;
/** Interval at which all work is sent, which makes up for lost messages. */
const snapshotIntervalMs = 500;
/**
 * Time after which a gateway that has sent nothing is no longer sent changes. Its work is removed at its predicted end.
 */
const peerTimeoutMs = 3_000;
/** Time for which each message repeats a crash, because messages can be lost. */
const crashRepeatMs = 2_000;
/** Keeps a message within one datagram of a usual network. */
const itemsPerMessage = 20;

/** Sends this gateway's work to the others of its cell, and records theirs in the ledger. */
export interface LoadExchange extends Disposable {
    /**
     * Sets the gateways that the store lists: members of the own cell, which receive all messages, and others, which
     * receive crashes.
     */
    setPeers(members: readonly string[], others: readonly string[]): void;
    /** Reports that an item of the own work was added, changed or, without `item`, removed. */
    reportChange(key: string, item: WorkItem | undefined): void;
    reportCrash(notice: CrashNotice): void;
    /** Counts the gateways that have sent messages lately, and this one. */
    countGateways(): number;
}

export interface LoadExchangeOptions {
    readonly host: string;
    readonly ip: string;
    readonly port: number;
    readonly incarnation: string;
    readonly timers: TimerService;
    readonly ledger: LoadLedger;
    readonly log: EventLog;
    /** Called when the work of another gateway has changed. */
    readonly onChange: () => void;
    readonly onCrash: (notice: CrashNotice) => void;
}

interface Peer {
    incarnation: string;
    sequence: number;
    lastReceivedAtMs: number;
}

/**
 * Starts the exchange on a UDP port. Datagrams suffice because each message supersedes earlier ones, so that a later
 * message makes up for a lost one. Unlike a connection, datagrams cannot stall.
 *
 * @example
 * const exchange = createLoadExchange(options);
 * exchange.reportChange(item.key, item);
 */
export function createLoadExchange(options: LoadExchangeOptions): LoadExchange {
    const { timers, ledger, log } = options;
    const ownAddress = `${options.ip}:${options.port}`;
    const socket = createSocket("udp4");
    const peers = new Map<string, Peer>();
    const changes = new Map<string, WorkItem | undefined>();
    const recentCrashes: { readonly notice: CrashNotice; readonly untilMs: number }[] = [];
    let members: readonly string[] = [];
    let others: ReadonlySet<string> = new Set();
    let sequence = 0;
    let batchTimer: Disposable | undefined;
    let isSendScheduled = false;
    let hasLastSendFailed = false;

    /** Lists the members of the cell, and gateways that send messages but are not listed in the store yet. */
    function listTargets(): string[] {
        return [...new Set([...members, ...peers.keys()])].filter(address => address !== ownAddress);
    }

    function send(
        isSnapshot: boolean,
        items: readonly WorkItem[],
        removed: readonly string[],
        targets: Iterable<string> = listTargets(),
    ): void {
        sequence += 1;
        const message: LoadMessage = {
            host: options.host,
            address: ownAddress,
            incarnation: options.incarnation,
            sequence,
            isSnapshot,
            items,
            removed,
            crashes: recentCrashes.map(item => item.notice),
        };
        const bytes = encodeLoadMessage(message, timers.now());
        for (const target of targets) {
            const [ip, port] = target.split(":");
            socket.send(bytes, Number(port), ip, handleSendResult);
        }
    }

    /**
     * A datagram that could not be sent is handled like a lost one. Only the first of several failures in a row is
     * logged.
     */
    function handleSendResult(error: Error | null): void {
        const hasFailed = error !== null;
        if (hasFailed && !hasLastSendFailed) {
            log(LogEvent.PeerMessageNotSent, { reason: error.message });
        }
        hasLastSendFailed = hasFailed;
    }

    function sendSnapshot(): void {
        const items = ledger.listOwn();
        changes.clear();
        send(true, items.slice(0, itemsPerMessage), []);
        for (let start = itemsPerMessage; start < items.length; start += itemsPerMessage) {
            send(false, items.slice(start, start + itemsPerMessage), []);
        }
    }

    /** Sends crashes to the other cells, because a request that crashes endpoints can arrive at any gateway. */
    function sendCrashesToOthers(): void {
        if (recentCrashes.length > 0) {
            send(false, [], [], others);
        }
    }

    function sendChanges(): void {
        batchTimer?.dispose();
        batchTimer = undefined;
        const changed = [...changes.values()].filter(item => item !== undefined);
        const removed = [...changes].filter(([, item]) => item === undefined).map(([key]) => key);
        changes.clear();
        for (let start = 0; start === 0 || start < changed.length; start += itemsPerMessage) {
            send(false, changed.slice(start, start + itemsPerMessage), start === 0 ? removed : []);
        }
    }

    /** Sends changes in a microtask, so that all parts of a prompt, which are added together, go into one message. */
    function scheduleSend(): void {
        if (!isSendScheduled) {
            isSendScheduled = true;
            queueMicrotask(() => {
                isSendScheduled = false;
                sendChanges();
            });
        }
    }

    function receive(bytes: Buffer, sender: RemoteInfo): void {
        const message = decodeLoadMessage(bytes, timers.now());
        if (!message || message.address === ownAddress) {
            return;
        }
        // Gateways send from the address at which they receive.
        if (message.address !== `${sender.address}:${sender.port}`) {
            return;
        }
        if (others.has(message.address)) {
            message.crashes.forEach(options.onCrash);
            return;
        }
        const known = peers.get(message.address);
        const isNew = known?.incarnation !== message.incarnation;
        if (!isNew && message.sequence <= known.sequence) {
            return;
        }
        if (isNew) {
            log(LogEvent.PeerFound, { host: message.host, address: message.address });
            ledger.removePeer(message.address);
        }
        peers.set(message.address, {
            incarnation: message.incarnation,
            sequence: message.sequence,
            lastReceivedAtMs: timers.now(),
        });
        if (message.isSnapshot) {
            ledger.replacePeer(message.address, message.items);
        }
        else {
            ledger.updatePeer(message.address, message.items, message.removed);
        }
        message.crashes.forEach(options.onCrash);
        options.onChange();
    }

    function expirePeers(): void {
        const nowMs = timers.now();
        ledger.expire(nowMs);
        while (recentCrashes[0] && recentCrashes[0].untilMs <= nowMs) {
            recentCrashes.shift();
        }
        for (const [address, peer] of peers) {
            if (nowMs - peer.lastReceivedAtMs > peerTimeoutMs) {
                peers.delete(address);
                log(LogEvent.PeerLost, { address, silentMs: Math.round(nowMs - peer.lastReceivedAtMs) });
            }
        }
    }

    socket.on("message", receive);
    socket.on("error", error => log(LogEvent.PeerMessageNotSent, { reason: error.message }));
    socket.bind(options.port, options.ip);
    const snapshotTimer = timers.subscribe(snapshotIntervalMs, () => {
        sendSnapshot();
        sendCrashesToOthers();
        expirePeers();
    });

    return {
        setPeers(newMembers, newOthers) {
            members = newMembers;
            others = new Set(newOthers);
            for (const address of [...peers.keys()].filter(known => others.has(known))) {
                peers.delete(address);
                ledger.removePeer(address);
            }
        },
        reportChange(key, item) {
            changes.set(key, item);
            // New work is sent at once: gateways that do not know of each other's new work choose the same engine.
            if (item?.phase === WorkPhase.Prefill) {
                scheduleSend();
            }
            else {
                batchTimer ??= timers.schedule(batchDelayMs, sendChanges);
            }
        },
        reportCrash(notice) {
            recentCrashes.push({ notice, untilMs: timers.now() + crashRepeatMs });
            scheduleSend();
            sendCrashesToOthers();
        },
        countGateways: () => 1 + peers.size,
        dispose() {
            snapshotTimer.dispose();
            batchTimer?.dispose();
            socket.close();
        },
    };
}
