/** Bundles the proxy for the users' platform into target/. */
import {build} from 'esbuild';

/** Makes `require` work in a bundle of ES modules, for packages that use it. */
const REQUIRE_BANNER =
  "import {createRequire as createBundleRequire} from 'node:module';" +
  'const require = createBundleRequire(import.meta.url);';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/filbertrun_proxy.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  tsconfig: 'tsconfig.eslint.json',
  banner: {js: REQUIRE_BANNER},
  // Optional parts of the logger that this program does not use.
  external: [
    'dtrace-provider',
    'mv',
    'safe-json-stringify',
    'source-map-support',
  ],
  logLevel: 'warning',
});
