import { AddressInfo, connect, createServer, Socket } from "node:net";
import { CaseRecord } from "./caseRecord.js";

/** The link to a runner. While it is cut, nothing passes in either direction, and what was sent arrives afterwards. */
export interface LinkProxy {
    /** Address at which the runner is registered. */
    readonly address: string;
    cut(): void;
    heal(): void;
}

/** Starts a link to a port on loopback. */
export async function startLinkProxy(targetPort: number, record: CaseRecord): Promise<LinkProxy> {
    const sockets = new Set<Socket>();
    let isCut = false;

    function add(socket: Socket): void {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    }

    /** Passes on bytes, the regular end and the reset of one direction. */
    function pass(from: Socket, to: Socket): void {
        from.on("data", bytes => to.write(bytes));
        from.once("end", () => to.end());
        from.once("error", () => to.resetAndDestroy());
    }

    const server = createServer({ allowHalfOpen: true }, near => {
        const far = connect({ port: targetPort, host: "127.0.0.1", allowHalfOpen: true });
        [near, far].forEach(add);
        pass(near, far);
        pass(far, near);
        if (isCut) {
            near.pause();
            far.pause();
        }
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    record.onEnd(() => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        cut() {
            isCut = true;
            sockets.forEach(socket => socket.pause());
        },
        heal() {
            isCut = false;
            sockets.forEach(socket => socket.resume());
        },
    };
}
