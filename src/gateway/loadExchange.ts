import { createSocket, RemoteInfo } from "node:dgram";
import { Disposable } from "../base/disposable.js";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { TimerService } from "../base/timerService.js";
import { EndpointLimit } from "../membership/endpointLimits.js";
import { CrashReport } from "../quarantine/crashEvidence.js";
import { QuarantineTerm } from "../quarantine/quarantineTerm.js";
import { LoadLedger, WorkItem, WorkPhase } from "../routing/loadLedger.js";
import { decodeLoadMessage, encodeLoadMessage, LoadMessage } from "./loadMessage.js";
import { createPeerNotices, PeerNotices } from "./peerNotices.js";
import { createRecentReports, noReports, Reports } from "./recentReports.js";

/** Changes other than new work are collected for this time and sent in one message, in milliseconds. */
const batchDelayMs = 5;
/** Interval at which all work is sent, which makes up for lost messages. */
const snapshotIntervalMs = 500;
/**
 * Time after which a gateway that has sent nothing is no longer sent changes. Its work is removed at its predicted end.
 */
const peerTimeoutMs = 3_000;
/** Keeps a message within one datagram of a usual network. */
const itemsPerMessage = 20;

/** Sends this gateway's work to the others of its cell, and records theirs in the ledger. */
export interface LoadExchange extends Disposable {
    /**
     * Sets the gateways that the store lists: members of the own cell, which receive all messages, and others, which
     * receive crashes and quarantines.
     */
    setPeers(members: readonly string[], others: readonly string[]): void;
    /** Reports that an item of the own work was added, changed or, without `item`, removed. */
    reportChange(key: string, item: WorkItem | undefined): void;
    /** Sends a crash to all gateways, because requests that crash endpoints can arrive at any of them. */
    reportCrash(report: CrashReport): void;
    /** Sends a change of an endpoint's limit to all gateways. */
    reportLimit(limit: EndpointLimit): void;
    /** Sends a decision about a quarantine to all gateways. */
    reportQuarantine(term: QuarantineTerm): void;
    /** Counts the gateways of the cell whose last message is no older than `maxSilenceMs`, and this one. */
    countHeard(maxSilenceMs: number): number;
    /** Lists the addresses of the other gateways of the cell whose last message is no older than `maxSilenceMs`. */
    listHeard(maxSilenceMs: number): readonly string[];
    /** Counts the gateways that have sent messages lately, and this one. */
    countGateways(): number;
    /** Further facts that gateways tell each other. */
    readonly notices: PeerNotices;
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
    readonly onCrash: (report: CrashReport) => void;
    readonly onQuarantine: (term: QuarantineTerm) => void;
    readonly onLimit: (limit: EndpointLimit) => void;
    readonly listLimits: () => readonly EndpointLimit[];
    /** Called for each request that another gateway has sent to an endpoint. */
    readonly onPeerDispatch: (endpoint: string) => void;
    readonly listQuarantines: () => readonly QuarantineTerm[];
    /** Lists the gateways of other cells that use an endpoint which the own cell does not use. They are told of work at it. */
    readonly listOwners: (endpoint: string) => readonly string[];
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
    /** Gateways of other cells that have sent work to endpoints of this one. */
    const borrowers = new Map<string, Peer>();
    const changes = new Map<string, WorkItem | undefined>();
    /** Gateways that are told of own work at endpoints of other cells, by the key of the work. */
    const ownersByKey = new Map<string, readonly string[]>();
    /** Gateways that the last snapshot of such work was sent to. */
    let lastOwners: readonly string[] = [];
    const recentReports = createRecentReports(() => options.listQuarantines(), () => options.listLimits());
    let members: readonly string[] = [];
    let others: ReadonlySet<string> = new Set();
    let sequence = 0;
    let batchTimer: Disposable | undefined;
    let introduction: Disposable | undefined;
    let isSendScheduled = false;
    let hasLastSendFailed = false;
    let isDisposed = false;

    const notices = createPeerNotices({
        host: options.host,
        address: ownAddress,
        incarnation: options.incarnation,
        log,
        send(bytes, isForAllCells, address) {
            const targets = isForAllCells ? [...listTargets(), ...others] : listTargets();
            sendBytes(bytes, address === undefined ? targets : [address]);
        },
    });

    /** Lists the members of the cell, and gateways that send messages but are not listed in the store yet. */
    function listTargets(): string[] {
        return [...new Set([...members, ...peers.keys()])].filter(address => address !== ownAddress);
    }

    function listHeard(maxSilenceMs: number): string[] {
        const nowMs = timers.now();
        return [...peers].filter(([, peer]) => nowMs - peer.lastReceivedAtMs <= maxSilenceMs)
            .map(([address]) => address);
    }

    function send(
        isSnapshot: boolean,
        items: readonly WorkItem[],
        removed: readonly string[],
        targets: Iterable<string> = listTargets(),
        reports: Reports = noReports,
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
            ...reports,
        };
        sendBytes(encodeLoadMessage(message, timers.now()), targets);
    }

    /** Sends nothing once disposed: requests that end afterwards still report changes, and the socket is closed. */
    function sendBytes(bytes: Buffer, targets: Iterable<string>): void {
        if (isDisposed) {
            return;
        }
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
        send(true, items.slice(0, itemsPerMessage), [], listTargets(), recentReports.listForSnapshot(timers.now()));
        for (let start = itemsPerMessage; start < items.length; start += itemsPerMessage) {
            send(false, items.slice(start, start + itemsPerMessage), []);
        }
    }

    /** Sends the work at endpoints of other cells to the gateways that use them, and once more when there is none left. */
    function sendForeignSnapshot(): void {
        const owners = [...new Set([...ownersByKey.values()].flat())];
        const targets = new Set([...owners, ...lastOwners]);
        lastOwners = owners;
        if (targets.size > 0) {
            const items = ledger.listOwn().filter(item => ownersByKey.has(item.key));
            send(true, items.slice(0, itemsPerMessage), [], targets);
            for (let start = itemsPerMessage; start < items.length; start += itemsPerMessage) {
                send(false, items.slice(start, start + itemsPerMessage), [], targets);
            }
        }
    }

    /** Repeats recent reports to the other cells. */
    function sendRecentReports(): void {
        const reports = recentReports.listRecent(timers.now());
        if (reports) {
            send(false, [], [], others, reports);
        }
    }

    function sendToAll(reports: Reports): void {
        send(false, [], [], [...listTargets(), ...others], reports);
    }

    function sendChanges(): void {
        batchTimer?.dispose();
        batchTimer = undefined;
        const changed = [...changes.values()].filter(item => item !== undefined);
        const removed = [...changes].filter(([, item]) => item === undefined).map(([key]) => key);
        changes.clear();
        sendItems(changed, removed, listTargets());
        const isForeign = (key: string) => ownersByKey.has(key);
        const foreign = changed.filter(item => isForeign(item.key));
        const foreignRemoved = removed.filter(isForeign);
        const keys = [...foreign.map(item => item.key), ...foreignRemoved];
        if (keys.length > 0) {
            sendItems(foreign, foreignRemoved, new Set(keys.flatMap(key => ownersByKey.get(key)!)));
            foreignRemoved.forEach(key => ownersByKey.delete(key));
        }
    }

    function sendItems(changed: readonly WorkItem[], removed: readonly string[], targets: Iterable<string>): void {
        for (let start = 0; start === 0 || start < changed.length; start += itemsPerMessage) {
            send(false, changed.slice(start, start + itemsPerMessage), start === 0 ? removed : [], targets);
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
        if (notices.receive(bytes, `${sender.address}:${sender.port}`)) {
            return;
        }
        const message = decodeLoadMessage(bytes, timers.now());
        if (!message || message.address === ownAddress) {
            return;
        }
        // Gateways send from the address at which they receive.
        if (message.address !== `${sender.address}:${sender.port}`) {
            return;
        }
        if (others.has(message.address)) {
            if (message.isSnapshot || message.items.length + message.removed.length > 0) {
                receiveWork(message, borrowers);
            }
            receiveReports(message);
            return;
        }
        const isNew = peers.get(message.address)?.incarnation !== message.incarnation;
        if (!receiveWork(message, peers)) {
            return;
        }
        receiveReports(message);
        if (isNew) {
            log(LogEvent.PeerFound, { host: message.host, address: message.address });
            // It knows nothing of what was observed before. Several that start together share one repeat.
            introduction ??= timers.schedule(batchDelayMs, sendIntroduction);
        }
    }

    /** Applies what a message says of work. Returns whether it was newer than the last one of its sender. */
    function receiveWork(message: LoadMessage, senders: Map<string, Peer>): boolean {
        const { incarnation, sequence } = message;
        const known = senders.get(message.address);
        const isNew = known?.incarnation !== incarnation;
        if (!isNew && sequence <= known.sequence) {
            return false;
        }
        if (isNew) {
            ledger.removePeer(message.address);
        }
        senders.set(message.address, { incarnation, sequence, lastReceivedAtMs: timers.now() });
        message.items.filter(item => !ledger.hasPeerItem(message.address, item.key))
            .forEach(item => options.onPeerDispatch(item.endpoint));
        if (message.isSnapshot) {
            ledger.replacePeer(message.address, message.items);
        }
        else {
            ledger.updatePeer(message.address, message.items, message.removed);
        }
        options.onChange();
        return true;
    }

    function sendIntroduction(): void {
        introduction = undefined;
        notices.repeat();
    }

    function receiveReports({ crashes, quarantines, limits }: Reports): void {
        limits.forEach(options.onLimit);
        crashes.forEach(options.onCrash);
        quarantines.forEach(options.onQuarantine);
    }

    function expirePeers(): void {
        const nowMs = timers.now();
        ledger.expire(nowMs);
        recentReports.expire(nowMs);
        for (const [address, peer] of peers) {
            if (nowMs - peer.lastReceivedAtMs > peerTimeoutMs) {
                peers.delete(address);
                log(LogEvent.PeerLost, { address, silentMs: Math.round(nowMs - peer.lastReceivedAtMs) });
            }
        }
        for (const [address, borrower] of borrowers) {
            if (nowMs - borrower.lastReceivedAtMs > peerTimeoutMs) {
                borrowers.delete(address);
            }
        }
    }

    socket.on("message", receive);
    socket.on("error", error => log(LogEvent.PeerMessageNotSent, { reason: error.message }));
    socket.bind(options.port, options.ip);
    const snapshotTimer = timers.subscribe(snapshotIntervalMs, () => {
        sendSnapshot();
        sendForeignSnapshot();
        sendRecentReports();
        notices.repeat();
        expirePeers();
    });

    return {
        setPeers(newMembers, newOthers) {
            members = newMembers;
            others = new Set(newOthers);
            [...borrowers.keys()].filter(known => !others.has(known)).forEach(known => borrowers.delete(known));
            for (const address of [...peers.keys()].filter(known => others.has(known))) {
                peers.delete(address);
                ledger.removePeer(address);
            }
        },
        reportChange(key, item) {
            if (isDisposed) {
                return;
            }
            changes.set(key, item);
            const owners = item && !ownersByKey.has(key) ? options.listOwners(item.endpoint) : [];
            if (owners.length > 0) {
                ownersByKey.set(key, owners);
            }
            // New work is sent at once: gateways that do not know of each other's new work choose the same engine.
            if (item?.phase === WorkPhase.Prefill) {
                scheduleSend();
            }
            else {
                batchTimer ??= timers.schedule(batchDelayMs, sendChanges);
            }
        },
        reportCrash(report) {
            recentReports.addCrash(report, timers.now());
            sendToAll({ ...noReports, crashes: [report] });
        },
        reportLimit(limit) {
            recentReports.addLimit(limit, timers.now());
            sendToAll({ ...noReports, limits: [limit] });
        },
        reportQuarantine(term) {
            recentReports.addTerm(term, timers.now());
            sendToAll({ ...noReports, quarantines: [term] });
        },
        countHeard: maxSilenceMs => 1 + listHeard(maxSilenceMs).length,
        listHeard,
        countGateways: () => 1 + peers.size,
        notices,
        dispose() {
            if (isDisposed) {
                return;
            }
            isDisposed = true;
            snapshotTimer.dispose();
            batchTimer?.dispose();
            introduction?.dispose();
            socket.close();
        },
    };
}
