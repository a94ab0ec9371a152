import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { isRegionAllowed, mergeAllowedRegions } from "../../src/routing/regionRestriction.js";

describe("region restrictions", () => {
    test("absent and empty lists restrict nothing, and of two lists both apply", () => {
        assert.equal(mergeAllowedRegions(undefined, []), undefined);
        assert.deepEqual(mergeAllowedRegions([], ["north"]), new Set(["north"]));
        assert.deepEqual(mergeAllowedRegions(["north", "south"], ["south"]), new Set(["south"]));
        assert.deepEqual(mergeAllowedRegions(["north"], ["south"]), new Set(), "disjoint lists leave nothing");
    });

    test("a data centre without a known region does not get restricted requests", () => {
        const regions = new Map([["a", "north"]]);
        assert.ok(isRegionAllowed(undefined, "b", undefined));
        assert.ok(isRegionAllowed(new Set(["north"]), "a", regions));
        assert.ok(!isRegionAllowed(new Set(["north"]), "b", regions));
        assert.ok(!isRegionAllowed(new Set(), "a", regions));
    });
});
