import assert from "node:assert/strict";
import { describe, test } from "node:test";
import {
    computeMaxCells,
    decideCell,
    listEndpointOwners,
    selectCellEndpoints,
    selectReportReceivers,
    splitEndpoints,
} from "../../src/routing/gatewayCell.js";

function makeAddresses(count: number): string[] {
    return Array.from({ length: count }, (unused, index) => `10.${index >> 8}.${index & 255}.4:7340`);
}

function makeEndpoints(count: number): { readonly id: string }[] {
    return Array.from({ length: count }, (unused, index) => ({ id: `engine-${index}` }));
}

describe("cells of gateways", () => {
    const counts: readonly [number, number][] = [[1, 1], [4, 1], [11, 1], [30, 4], [100, 16], [300, 32], [610, 64]];
    for (const [gateways, cells] of counts) {
        test(`${gateways} gateways form ${cells} cells, of 6 to 19 gateways each if there are several`, () => {
            const addresses = makeAddresses(gateways);
            const sizes = addresses.map(own => decideCell(own, addresses, Infinity).members.length + 1);
            assert.equal(decideCell(addresses[0]!, addresses, Infinity).cell.count, cells);
            assert.ok(cells === 1 || (Math.min(...sizes) >= 6 && Math.max(...sizes) <= 19));
        });
    }

    /** Guards against long prompts that wait in one cell while the engines of others are free. */
    test("cells have 16 engines at least, also after a third of them is lost", () => {
        const addresses = makeAddresses(31);
        const countCells = (endpoints: number, areEngines: boolean) =>
            decideCell(addresses[0]!, addresses, computeMaxCells(endpoints, areEngines)).cell.count;
        assert.deepEqual([112, 64, 45, 38, 30, 0].map(engines => countCells(engines, true)), [4, 4, 2, 2, 1, 1]);
        // Gateways that share all endpoints of a small service have to hear of each other's work.
        assert.deepEqual([2, 15, 16, 100].map(endpoints => countCells(endpoints, false)), [1, 1, 2, 4]);
    });

    test("membership is symmetric, so that every member receives the load reports of all others", () => {
        const addresses = makeAddresses(100);
        for (const own of addresses) {
            for (const member of decideCell(own, addresses, Infinity).members) {
                assert.ok(decideCell(member, [...addresses].reverse(), Infinity).members.includes(own));
            }
        }
    });

    /** Guards against cells that are not told of work at their engines, also of services with fewer partitions than cells. */
    test("the owners of an endpoint are the gateways of other cells that select it", () => {
        const addresses = makeAddresses(60);
        const memberships = new Map(addresses.map(own => [own, decideCell(own, addresses, Infinity)]));
        for (const count of [4, 20, 200]) {
            const endpoints = makeEndpoints(count);
            const ids = endpoints.map(({ id }) => id);
            const isUser = (address: string, id: string) =>
                selectCellEndpoints(memberships.get(address)!.cell, endpoints).some(endpoint => endpoint.id === id);
            const { cell, indexes } = memberships.get(addresses[0]!)!;
            for (const id of ids) {
                const owners = listEndpointOwners(cell, indexes, splitEndpoints(cell, ids), id);
                const users = isUser(addresses[0]!, id) ? [] : addresses.filter(address => isUser(address, id));
                assert.deepEqual([...owners].sort(), users.sort());
            }
        }
    });

    /** Guards against reports whose bytes at each gateway grow with the number of gateways. */
    test("a gateway gets the reports of three other cells at most, of all if there are fewer", () => {
        for (const [gateways, reports] of [[30, 3], [13, 1], [300, 3], [4, 0]] as const) {
            const addresses = makeAddresses(gateways);
            const own = addresses[0]!;
            const reporters = new Set<number>();
            for (const { cell, indexes } of addresses.map(address => decideCell(address, addresses, Infinity))) {
                if (selectReportReceivers(cell, indexes, 3).includes(own)) {
                    reporters.add(cell.index);
                }
            }
            assert.equal(reporters.size, reports);
        }
    });

    test("a gateway that the store does not list yet is assigned a cell", () => {
        const addresses = makeAddresses(30);
        assert.ok(decideCell("10.9.9.9:7340", addresses, Infinity).cell.index >= 0);
    });

    test("each endpoint of a large service belongs to exactly one cell, and the partitions have similar sizes", () => {
        const endpoints = makeEndpoints(3_000);
        const shares = Array.from(
            { length: 32 },
            (unused, index) => selectCellEndpoints({ index, count: 32 }, endpoints).length,
        );
        assert.equal(shares.reduce((sum, share) => sum + share, 0), 3_000);
        assert.ok(Math.min(...shares) > 60 && Math.max(...shares) < 130, String(shares));
    });

    /** Guards against a cell that has to serve its customers with fewer engines than the others. */
    test("the partitions of a service differ by one endpoint at most", () => {
        for (const count of [112, 113, 60, 45]) {
            const endpoints = makeEndpoints(count);
            const shares = [0, 1, 2, 3].map(index => selectCellEndpoints({ index, count: 4 }, endpoints).length);
            assert.equal(shares.reduce((sum, share) => sum + share, 0), count);
            assert.ok(Math.max(...shares) - Math.min(...shares) <= 1, String(shares));
        }
    });

    /**
     * Guards against gateways of different cells on the same engines: gateways learn of a change at times that differ by
     * seconds, and those that have not learned of it divide the engines as before.
     */
    test("a gateway that joins or leaves changes the cell of few others", () => {
        const addresses = makeAddresses(29);
        const indexOf = (own: string, known: readonly string[]) => decideCell(own, known, Infinity).cell.index;
        const moves = addresses.map(left => {
            const known = addresses.filter(address => address !== left);
            return known.filter(own => indexOf(own, known) !== indexOf(own, addresses)).length;
        });
        const meanMoves = moves.reduce((sum, count) => sum + count, 0) / moves.length;
        assert.ok(meanMoves < 3, `${meanMoves} of 28 gateways change their cell on average`);
    });

    test("an endpoint that leaves changes the cell of few others", () => {
        const endpoints = makeEndpoints(112);
        const cells = [0, 1, 2, 3].map(index => ({ index, count: 4 }));
        const list = (known: typeof endpoints) => cells.map(cell => new Set(selectCellEndpoints(cell, known)));
        const before = list(endpoints);
        const after = list(endpoints.slice(1));
        const moved = endpoints.slice(1).filter(endpoint =>
            before.findIndex(set => set.has(endpoint)) !== after.findIndex(set => set.has(endpoint))
        );
        assert.ok(moved.length <= 4, `${moved.length} endpoints change their cell`);
    });

    test("cells share a service with few endpoints, so that every cell has endpoints of it", () => {
        const endpoints = makeEndpoints(9);
        assert.equal(selectCellEndpoints({ index: 7, count: 32 }, endpoints).length, 9);
    });

    test("doubling the number of cells divides each partition in two and moves no endpoint to another one", () => {
        const endpoints = makeEndpoints(1_000);
        const whole = selectCellEndpoints({ index: 3, count: 8 }, endpoints);
        const halves = [3, 11].flatMap(index => selectCellEndpoints({ index, count: 16 }, endpoints));
        assert.deepEqual(new Set(halves), new Set(whole));
    });
});
