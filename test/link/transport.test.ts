import assert from "node:assert/strict";
import * as net from "node:net";
import { after, before, describe, test } from "node:test";
import { generate } from "selfsigned";
import { createLinkTransport, LinkCertificates } from "../../src/link/transport.js";

/** Creates a self-signed certificate, which is also the authority. All processes of the test system share one. */
function makeCertificates(name: string): LinkCertificates {
    const pem = generate([{ name: "commonName", value: name }], { keySize: 2048, days: 1 });
    return { certificate: pem.cert, privateKey: pem.private, authority: pem.cert };
}

const systemCertificates = makeCertificates("ours");
const foreignCertificates = makeCertificates("theirs");
let server: net.Server;
let port = 0;
const refusals: string[] = [];

before(async () => {
    server = createLinkTransport(systemCertificates).createServer(
        socket => {
            socket.on("error", () => undefined);
            socket.write("accepted");
        },
        error => refusals.push(error.message),
    );
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    port = (server.address() as net.AddressInfo).port;
});
after(() => server.close());

function connect(certificates: LinkCertificates | undefined): Promise<string> {
    return new Promise(resolve => {
        const socket = createLinkTransport(certificates).connect(port, "127.0.0.1");
        socket.setTimeout(1_000, () => socket.destroy());
        socket.on("data", bytes => {
            socket.destroy();
            resolve(bytes.toString());
        });
        socket.on("error", () => resolve("refused"));
        socket.on("close", () => resolve("refused"));
    });
}

const cases: readonly (readonly [string, LinkCertificates | undefined, string])[] = [
    ["a certificate of the authority is accepted", systemCertificates, "accepted"],
    ["a certificate of another authority is refused", foreignCertificates, "refused"],
    ["a foreign certificate is refused even if its owner trusts our authority", {
        ...foreignCertificates,
        authority: systemCertificates.authority,
    }, "refused"],
    ["a plain connection is refused", undefined, "refused"],
];

describe("mutual TLS on links", () => {
    for (const [name, certificates, expected] of cases) {
        test(name, async () => {
            assert.equal(await connect(certificates), expected);
        });
    }

    test("refused connections are reported", () => {
        assert.ok(refusals.length >= 2, refusals.join("; "));
    });
});
