import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {expect, test} from 'vitest';
import {runSoak} from './run_soak.js';
import {ROUND_KINDS} from './soak_plan.js';

const TEST_TIMEOUT_MS = 150_000;

test(
  'keeps every acknowledged write while proxies and instances fail during changes',
  async () => {
    execFileSync(process.execPath, ['tools/build_platform.js']);
    const folder = mkdtempSync(path.join(os.tmpdir(), 'filbertrun-soak-'));
    try {
      const result = await runSoak({
        bundle: path.resolve('target/filbertrun_proxy.mjs'),
        folder,
        seed: 1,
        durationMs: 25_000,
        groupCount: 1,
        kinds: ROUND_KINDS,
      });
      expect(result.violations).toEqual([]);
      // Guards against a run in which nothing was written or promoted.
      expect(result.acknowledgedCount).toBeGreaterThan(500);
      expect(result.promotionCount).toBeGreaterThan(0);
    } finally {
      rmSync(folder, {recursive: true, force: true});
    }
  },
  TEST_TIMEOUT_MS,
);
