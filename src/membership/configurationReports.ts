/** The version of the configuration that a gateway has in force. */
export interface ConfigurationReport {
    readonly version: number;
    /** Digest of the published configuration. Two different configurations can have the same version. */
    readonly digest: string;
    /** Era of the store that the gateway has read last; 0 if the store names none. */
    readonly era: number;
}

/**
 * Finds the newest version among those that other gateways report if it is newer than the version that the store offers.
 * A gateway that has not read the present era of the store yet may know a version that the store has rightly lost.
 *
 * @param offered what the store offers in its present era
 *
 * @example
 * findNewerReport({ version: 4, digest, era: 2 }, [{ version: 5, digest: other, era: 2 }])?.version; // 5
 */
export function findNewerReport<Report extends ConfigurationReport>(
    offered: ConfigurationReport,
    reports: Iterable<Report>,
): Report | undefined {
    let newest: Report | undefined;
    for (const report of reports) {
        const isNewer = report.era >= offered.era && report.version > (newest ?? offered).version;
        newest = isNewer ? report : newest;
    }
    return newest;
}
