import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { decideCell, selectCellEndpoints } from "../../src/routing/gatewayCell.js";

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
            const sizes = addresses.map(own => decideCell(own, addresses).members.length + 1);
            assert.equal(decideCell(addresses[0]!, addresses).cell.count, cells);
            assert.ok(cells === 1 || (Math.min(...sizes) >= 6 && Math.max(...sizes) <= 19));
        });
    }

    test("membership is symmetric, so that every member receives the load reports of all others", () => {
        const addresses = makeAddresses(100);
        for (const own of addresses) {
            for (const member of decideCell(own, addresses).members) {
                assert.ok(decideCell(member, [...addresses].reverse()).members.includes(own));
            }
        }
    });

    test("a gateway that the store does not list yet is assigned a cell", () => {
        const addresses = makeAddresses(30);
        assert.ok(decideCell("10.9.9.9:7340", addresses).cell.index >= 0);
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
