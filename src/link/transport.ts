import * as net from "node:net";
import * as tls from "node:tls";

/** Certificates of one process, in PEM format. */
export interface LinkCertificates {
    readonly certificate: string;
    readonly privateKey: string;
    /** Certificate of the authority that signs the certificates of all processes of the system. */
    readonly authority: string;
}

/** Opens and accepts the sockets of links, over plain TCP or mutual TLS. */
export interface LinkTransport {
    connect(port: number, address: string): net.Socket;
    createServer(accept: (socket: net.Socket) => void, reportRefused: (error: Error) => void): net.Server;
}

/**
 * Creates the transport of links. With `certificates`, each end must present one that the authority has signed.
 *
 * @example
 * const transport = createLinkTransport(undefined);
 * transport.createServer(socket => sidecar.accept(socket), console.error).listen(7000);
 */
export function createLinkTransport(certificates: LinkCertificates | undefined): LinkTransport {
    if (!certificates) {
        return {
            connect: (port, address) => net.connect(port, address),
            createServer: accept => net.createServer(accept),
        };
    }
    const context = { cert: certificates.certificate, key: certificates.privateKey, ca: certificates.authority };
    const minVersion = "TLSv1.3";
    return {
        connect: (port, address) =>
            tls.connect({
                ...context,
                port,
                host: address,
                minVersion,
                // Host names are not verified, because hosts are replaced at any time and are addressed by IP. The
                // authority signs certificates of this system's processes only, and the handshake names the endpoint.
                checkServerIdentity: () => undefined,
            }),
        createServer(accept, reportRefused) {
            const server = tls.createServer({ ...context, minVersion, requestCert: true, rejectUnauthorized: true });
            server.on("secureConnection", accept);
            server.on("tlsClientError", reportRefused);
            return server;
        },
    };
}
