/** A proxy for a link that has a delay, and passes on what comes from the entry at a low rate. */

import {connect, createServer} from 'node:net';

export async function startSlowLink(targetPort, bytesPerSecond, delayMs = 0) {
  const sockets = new Set();
  const later = (target, act) =>
    delayMs > 0 ? setTimeout(() => target.destroyed || act(), delayMs) : act();
  const server = createServer(caller => {
    const entry = connect(targetPort, '127.0.0.1');
    sockets.add(caller).add(entry);
    entry.setNoDelay(true);
    caller.setNoDelay(true);
    caller.on('data', chunk => later(entry, () => entry.write(chunk)));
    caller.on('end', () => later(entry, () => entry.end()));
    entry.on('data', chunk => {
      later(caller, () => caller.write(chunk));
      entry.pause();
      setTimeout(() => entry.resume(), (chunk.length / bytesPerSecond) * 1_000);
    });
    entry.on('end', () => later(caller, () => caller.end()));
    entry.on('error', () => caller.destroy());
    caller.on('error', () => entry.destroy());
    caller.on('close', () => entry.destroy());
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  return {
    port: server.address().port,
    close() {
      server.close();
      sockets.forEach(socket => socket.destroy());
    },
  };
}
