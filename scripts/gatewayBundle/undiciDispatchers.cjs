// The part of undici that the gateway uses. The package's main module also loads fetch, cookies, web sockets and
// caches: 52 of the 165 ms that the bundle took to load in a profile with compiled code.
"use strict";

const Dispatcher = require("undici/lib/dispatcher/dispatcher.js");
const Agent = require("undici/lib/dispatcher/agent.js");
const Pool = require("undici/lib/dispatcher/pool.js");
const buildConnector = require("undici/lib/core/connect.js");
const request = require("undici/lib/api/api-request.js");

Dispatcher.prototype.request = request;

module.exports = { Agent, Dispatcher, Pool, buildConnector };
