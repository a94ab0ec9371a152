import { readFile } from "node:fs/promises";
import { BlockList, isIPv6 } from "node:net";
import { z } from "zod";
import { EventLog } from "../base/log.js";
import { LogEvent } from "../base/logEvents.js";
import { createLinkTransport, LinkTransport } from "../link/transport.js";
import { SettingsError } from "./settings.js";

/** Flags that secure links, shared by entry and sidecar. */
export const linkSecurityOptions = {
    "link-key": { type: "string", default: "", describe: "shared key of links between entries and sidecars" },
    "tls-certificate": { type: "string", describe: "certificate file of this process (PEM), for mutual TLS on links" },
    "tls-private-key": { type: "string", describe: "private key file of the certificate (PEM)" },
    "tls-authority": { type: "string", describe: "certificate file of the authority that signs every process (PEM)" },
} as const;

/** Schema of the values of {@link linkSecurityOptions}. */
export const linkSecuritySchema = {
    linkKey: z.string(),
    tlsCertificate: z.string().optional(),
    tlsPrivateKey: z.string().optional(),
    tlsAuthority: z.string().optional(),
};

interface LinkSecuritySettings {
    readonly linkKey: string;
    readonly tlsCertificate?: string;
    readonly tlsPrivateKey?: string;
    readonly tlsAuthority?: string;
}

const loopback = new BlockList();
loopback.addSubnet("127.0.0.0", 8, "ipv4");
loopback.addAddress("::1", "ipv6");

/**
 * Creates the link transport for the security settings.
 *
 * @throws SettingsError if only a part of the TLS files is named, one cannot be read, or links without a key would be
 * reachable from other hosts
 */
export async function loadLinkTransport(
    settings: LinkSecuritySettings,
    address: string,
    log: EventLog,
): Promise<LinkTransport> {
    const { tlsCertificate, tlsPrivateKey, tlsAuthority } = settings;
    if (settings.linkKey === "") {
        if (!loopback.check(address, isIPv6(address) ? "ipv6" : "ipv4")) {
            throw new SettingsError(
                "invalid settings:\n  --link-key: expected a key, because the address is reachable from other hosts",
            );
        }
        log(LogEvent.LinkUnprotected, { address });
    }
    const fileCount = [tlsCertificate, tlsPrivateKey, tlsAuthority].filter(file => file !== undefined).length;
    if (fileCount === 0) {
        return createLinkTransport(undefined);
    }
    if (!tlsCertificate || !tlsPrivateKey || !tlsAuthority) {
        throw new SettingsError(
            "invalid settings:\n  --tls-certificate, --tls-private-key, --tls-authority: expected all three or none",
        );
    }
    return createLinkTransport({
        certificate: await readPem("tls-certificate", tlsCertificate),
        privateKey: await readPem("tls-private-key", tlsPrivateKey),
        authority: await readPem("tls-authority", tlsAuthority),
    });
}

async function readPem(flag: string, path: string): Promise<string> {
    try {
        return await readFile(path, "utf8");
    }
    catch (error) {
        throw new SettingsError(`invalid settings:\n  --${flag}: cannot read ${path}: ${(error as Error).message}`);
    }
}
