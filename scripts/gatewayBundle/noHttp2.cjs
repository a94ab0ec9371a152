// Replaces undici's HTTP/2 client, which is used only over TLS; every connection of the gateway is HTTP/1.1 without TLS.
"use strict";

module.exports = function connectHttp2() {
    throw new Error("HTTP/2 is not part of the gateway's bundle");
};
