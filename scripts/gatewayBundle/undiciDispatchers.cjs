// The part of undici that the gateway uses. The package's main module also loads fetch, web sockets, caches and HTTP/2,
// half of the time that a gateway needs to start.
"use strict";

const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Agent = require("undici/lib/dispatcher/agent.js");
const Pool = require("undici/lib/dispatcher/pool.js");
const buildConnector = require("undici/lib/core/connect.js");
const request = require("undici/lib/api/api-request.js");

Dispatcher.prototype.request = request;

module.exports = { Agent, Dispatcher, Pool, buildConnector };
