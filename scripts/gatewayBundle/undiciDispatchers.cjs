// Exports the part of undici that the gateway uses. The package's main module also loads fetch, cookies, WebSockets and
// caches, which took 52 of the 165 ms of loading the bundle in a profile with a code cache.
"use strict";

const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Agent = require("undici/lib/dispatcher/agent.js");
const Pool = require("undici/lib/dispatcher/pool.js");
const buildConnector = require("undici/lib/core/connect.js");
const request = require("undici/lib/api/api-request.js");

Dispatcher.prototype.request = request;

module.exports = { Agent, Dispatcher, Pool, buildConnector };
