import {createRequire} from 'node:module';

const require = createRequire(import.meta.url);

/** Rules of gts (Google TypeScript Style), without generated files. */
export default [
  {
    ignores: [
      '**/dist/',
      '**/node_modules/',
      'scratch/',
      'target/',
      'journal/',
    ],
  },
  ...require('gts'),
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {project: './tsconfig.eslint.json'}},
    rules: {
      // The compiler resolves imports; the rule does not know package exports.
      'n/no-missing-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-unpublished-import': 'off',
      // Node 20 is the only runtime; the rule still flags stable features.
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
    },
  },
  {
    // A rejection that nobody handles ends the process, so a task that nobody
    // waits for states what becomes of its failure; `void` hides it.
    files: [
      'packages/{configuration,gateway,membership,peer}/src/**/*.ts',
      'platform/src/**/*.ts',
    ],
    ignores: [
      '**/*_test.ts',
      '**/testing/**',
      '**/fake_*',
      '**/*simulation*',
      '**/simulation/**',
    ],
    rules: {
      '@typescript-eslint/no-floating-promises': ['error', {ignoreVoid: false}],
      '@typescript-eslint/no-misused-promises': 'error',
    },
  },
  {
    files: ['*.js', 'tools/*.js'],
    languageOptions: {sourceType: 'module'},
    rules: {'n/no-unpublished-import': 'off'},
  },
];
