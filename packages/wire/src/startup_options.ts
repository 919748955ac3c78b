import {failure, success, type Result} from '@filbertrun/base/result.js';

/**
 * Parses the `options` startup parameter, which contains command-line switches.
 * `-c name=value` and `--name=value` set run-time parameters; other switches
 * are rejected. A backslash escapes the next character.
 */

/** Why `options` was rejected. @public */
export interface StartupOptionsError {
  readonly kind: 'malformedOptions';
  readonly option: string;
}

/**
 * Returns the run-time parameters in the order in which they are set.
 *
 * @public
 */
export function parseStartupOptions(
  options: string,
): Result<readonly (readonly [string, string])[], StartupOptionsError> {
  const settings: [string, string][] = [];
  const words = splitWords(options);
  for (let index = 0; index < words.length; index++) {
    const word = words[index]!;
    let assignment: string | null = null;
    if (word === '-c') {
      assignment = words[++index] ?? null;
    } else if (word.startsWith('-c')) {
      assignment = word.slice(2);
    } else if (word.startsWith('--')) {
      assignment = word.slice(2);
    }
    const separator = assignment?.indexOf('=') ?? -1;
    if (assignment === null || separator < 1) {
      return failure({kind: 'malformedOptions', option: word});
    }
    settings.push([
      assignment.slice(0, separator),
      assignment.slice(separator + 1),
    ]);
  }
  return success(settings);
}

function splitWords(options: string): readonly string[] {
  const words: string[] = [];
  let word = '';
  let isEscaped = false;
  for (const character of options) {
    if (isEscaped) {
      word += character;
      isEscaped = false;
    } else if (character === '\\') {
      isEscaped = true;
    } else if (/\s/.test(character)) {
      if (word !== '') {
        words.push(word);
      }
      word = '';
    } else {
      word += character;
    }
  }
  if (word !== '') {
    words.push(word);
  }
  return words;
}
