/** The parts of undici that an entry uses: the whole library takes twice as long to load. */

const Dispatcher = require('undici/lib/dispatcher/dispatcher.js');
const api = require('undici/lib/api/index.js');

Object.assign(Dispatcher.prototype, api);

module.exports = {
  Client: require('undici/lib/dispatcher/client.js'),
  Pool: require('undici/lib/dispatcher/pool.js'),
  buildConnector: require('undici/lib/core/connect.js'),
};
