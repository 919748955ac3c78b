// A link to a server that can be cut: bytes and closes are held until it heals.
import net from 'node:net';
import {findPorts, HOST} from './world.mjs';

/** Forwards connections; while it is cut, new ones are not accepted. */
export class HeldLink {
  isCut = false;
  pairs = new Set();

  async start(targetPort) {
    this.port = await findPorts(1);
    this.targetPort = targetPort;
    await this.listen();
  }

  listen() {
    this.server = net.createServer({allowHalfOpen: true}, socket =>
      this.serve(socket),
    );
    return new Promise(resolve => this.server.listen(this.port, HOST, resolve));
  }

  serve(socket) {
    const target = net.connect({
      host: HOST,
      port: this.targetPort,
      allowHalfOpen: true,
    });
    const pair = {socket, target, held: []};
    this.pairs.add(pair);
    const pass = action => {
      if (this.isCut) {
        pair.held.push(action);
      } else {
        action();
      }
    };
    for (const [from, to] of [
      [socket, target],
      [target, socket],
    ]) {
      from.setNoDelay(true);
      from.on('data', chunk => pass(() => to.writable && to.write(chunk)));
      from.on('end', () => pass(() => to.end()));
      from.on('error', error => {
        // A reset discards what its sender has under way.
        if (from === socket && error.code === 'ECONNRESET') {
          pair.held = [];
        }
        pass(() => to.destroy());
      });
    }
  }

  cut() {
    this.isCut = true;
    this.server.close();
  }

  async heal() {
    this.isCut = false;
    await this.listen();
    for (const pair of this.pairs) {
      for (const action of pair.held.splice(0)) {
        action();
      }
    }
  }

  stop() {
    this.server.close();
    for (const {socket, target} of this.pairs) {
      socket.destroy();
      target.destroy();
    }
  }
}
