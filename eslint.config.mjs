import gts from 'gts';
import {defineConfig} from 'eslint/config';
import gtsIgnores from 'gts/eslint.ignores.js';
import tseslint from 'typescript-eslint';
import globals from 'globals';

export default defineConfig([
  {
    ignores: [
      ...gtsIgnores,
      '**/dist/',
      'packages/*/src/gen/',
      '.runs/',
      'target/',
    ],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parser: tseslint.parser,
      parserOptions: {
        project: [
          './packages/*/tsconfig.json',
          './packages-private/*/tsconfig.json',
          './platform/tsconfig.json',
          './features/tsconfig.json',
        ],
        tsconfigRootDir: import.meta.dirname,
      },
    },
  },
  {
    files: ['**/*.ts', '**/*.mjs'],
    languageOptions: {globals: globals.node},
    rules: {
      // The compiler and the workspace's lockfile answer these questions.
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
    },
  },
]);
