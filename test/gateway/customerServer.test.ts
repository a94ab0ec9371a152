import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { createCustomerServer } from "../../src/gateway/customerServer.js";
import { findFreePorts } from "../soak/soak.js";

/** Seed of a port range that no soak run in CI uses. */
const portSeed = 498;
const request = "GET / HTTP/1.1\r\nHost: models.example\r\n\r\n";

/** Guards against a request that runs although its connection was closed before it was read: nobody gets its answer. */
test("a request that crosses the close of its idle connection is not handled", { timeout: 10_000 }, async context => {
    const [port] = await findFreePorts(portSeed, 1);
    let handled = 0;
    const server = createCustomerServer({ ip: "127.0.0.1", port: port! }, 10, (unused, response) => {
        handled += 1;
        response.end();
    });
    await server.listen();
    context.after(() => server.close());
    const customer = connect(port!, "127.0.0.1");
    customer.write(request);
    await once(customer, "data");
    assert.equal(handled, 1);
    customer.write(request);
    server.closeIdleConnections();
    await once(customer, "close");
    assert.equal(handled, 1);
});
