import http from 'node:http';
import {pause} from './pause.js';
import type {RowChange, RowTable} from './row_table.js';
import {
  formatRow,
  formatStoreResponse,
  mapPorts,
  parseStoreCall,
  type MapPort,
  type StoreCall,
} from './store_codec.js';
import {HOST, listen} from './ports.js';
import type {Trace} from './trace.js';

/** Options of a store endpoint. @internal */
export interface StoreStandinOptions {
  readonly rows: RowTable;
  readonly trace: Trace;
  /** Maps the ports of processes to those of relays. */
  readonly toRelayPort: MapPort;
  /** Maps them back. */
  readonly toRealPort: MapPort;
}

/** How the store treats the calls of a proxy. @internal */
export interface StoreConduct {
  /** Time before a call is carried out. */
  delayMs: number;
  /** Answers 503 to all calls. */
  isDown: boolean;
  /** Carries changes out without an answer. */
  losesAnswers: boolean;
}

const TRANSACTION_MS = 5;

/** Stand-in of the platform's store, as one proxy sees it. @internal */
export class StoreStandin {
  readonly conduct: StoreConduct = {
    delayMs: 0,
    isDown: false,
    losesAnswers: false,
  };
  private listeningPort = 0;
  private readonly server: http.Server;

  private constructor(private readonly options: StoreStandinOptions) {
    this.server = http.createServer((request, response) => {
      // A request that its sender breaks off is not carried out.
      this.respond(request, response).catch(() => response.destroy());
    });
  }

  static async start(options: StoreStandinOptions): Promise<StoreStandin> {
    const standin = new StoreStandin(options);
    const port = await listen(standin.server, 0);
    if (port === null) {
      throw new Error('no port for the store');
    }
    standin.listeningPort = port;
    return standin;
  }

  get port(): number {
    return this.listeningPort;
  }

  get address(): string {
    return `${HOST}:${this.listeningPort}`;
  }

  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  private async respond(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const bodyText = await readBody(request);
    const {delayMs, isDown} = this.conduct;
    if (isDown) {
      response.writeHead(503).end('{}');
      return;
    }
    if (delayMs > 0) {
      await pause(delayMs);
    }
    const call = parseStoreCall(request.url ?? '', bodyText);
    const [status, body] = await this.execute(call);
    if (this.conduct.losesAnswers && call.kind === 'change') {
      request.socket.destroy();
      return;
    }
    if (!response.destroyed) {
      response.writeHead(status, {'content-type': 'application/json'});
      response.end(body);
    }
  }

  private async execute(call: StoreCall): Promise<readonly [number, string]> {
    const {rows} = this.options;
    switch (call.kind) {
      case 'list': {
        const present = rows.list(call.table).filter(row => row.text !== null);
        return [200, this.format(present.map(row => this.show(row)))];
      }
      case 'follow': {
        const {table, afterVersion, waitMs} = call;
        const endMs = Date.now() + waitMs;
        let changes = rows.listChanges(table, afterVersion);
        while (changes.length === 0 && Date.now() < endMs) {
          await rows.waitForChange(endMs - Date.now());
          changes = rows.listChanges(table, afterVersion);
        }
        return [200, this.format(changes.map(row => this.show(row)))];
      }
      case 'change':
        await pause(TRANSACTION_MS);
        return this.change(call);
      case 'unknown':
        return [404, '{}'];
    }
  }

  private change(
    call: Extract<StoreCall, {readonly kind: 'change'}>,
  ): readonly [number, string] {
    const {rows, toRealPort} = this.options;
    const isExpected = call.expected.every(
      row => rows.getVersion(row) === row.version,
    );
    if (!isExpected) {
      const current = call.expected.map(({table, key}) => {
        const version = rows.getVersion({table, key});
        const text = rows.getText(table, key);
        return this.show({table, key, text, version});
      });
      return [412, this.format(current)];
    }
    rows.apply(
      call.changes.map(change => ({
        ...change,
        text: mapPorts(change, toRealPort),
      })),
    );
    return [200, this.format(null)];
  }

  private show(row: RowChange & {readonly version: number}): object {
    const text = mapPorts(row, this.options.toRelayPort);
    return formatRow({...row, text});
  }

  private format(rows: readonly object[] | null): string {
    const {trace, rows: table} = this.options;
    return formatStoreResponse(table.version, trace.nowMs(), rows);
  }
}

/** Reads the body of a request. @internal */
export async function readBody(request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}
