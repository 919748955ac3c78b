import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {defineConfig} from 'vitest/config';

const root = path.dirname(fileURLToPath(import.meta.url));

/** Resolves workspace packages to their sources, so tests need no build. */
export default defineConfig({
  resolve: {
    alias: [
      {
        find: /^@filbertrun\/([^/]+)\/(.*)\.js$/,
        replacement: `${root}/packages/$1/src/$2.ts`,
      },
    ],
  },
  test: {
    include: [
      'packages/*/src/**/*_test.ts',
      'apps/*/src/**/*_test.ts',
      'platform/src/**/*_test.ts',
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    sequence: {shuffle: false},
  },
});
