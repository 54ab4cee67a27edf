// Bundles the program into one file under target/, so that a start reads one module instead of hundreds.
import { build } from 'esbuild';

await build({
  entryPoints: ['src/milletcleat.ts'],
  outfile: 'target/milletcleat.mjs',
  bundle: true,
  minifySyntax: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: { js: "#!/usr/bin/env node\nimport { createRequire as requireFrom } from 'node:module'; const require = requireFrom(import.meta.url);" },
  external: ['dtrace-provider', 'mv', 'moment', 'source-map-support', 'msgpackr-extract', 'safe-json-stringify'],
});
