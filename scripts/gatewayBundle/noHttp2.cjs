// Stands for undici's HTTP/2 client, which is reached only through TLS; every connection of the gateway is plain HTTP/1.1.
"use strict";

module.exports = function connectHttp2() {
    throw new Error("HTTP/2 is not part of the gateway's bundle");
};
