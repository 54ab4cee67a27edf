// Bundles the program into a few files under target/, so that a start reads these instead of hundreds
// and a daemon does not load the tools.
import { build } from 'esbuild';

await build({
  entryPoints: ['src/milletcleat.ts'],
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  chunkNames: 'parts/[name]-[hash]',
  splitting: true,
  bundle: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {
    js: "#!/usr/bin/env node\nimport { createRequire as requireFrom } from 'node:module'; const require = requireFrom(import.meta.url);",
  },
  external: ['dtrace-provider', 'mv', 'moment', 'source-map-support', 'msgpackr-extract', 'safe-json-stringify'],
});
