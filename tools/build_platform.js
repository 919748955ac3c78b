/** Bundles the proxy into target/ for deployment on the platform. */
import {build} from 'esbuild';

/** Defines `require` in the ES module bundle for packages that call it. */
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
  // Optional dependencies of the logger that the proxy does not use.
  external: [
    'dtrace-provider',
    'mv',
    'safe-json-stringify',
    'source-map-support',
  ],
  logLevel: 'warning',
});
