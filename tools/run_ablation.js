/**
 * Ablation study: disables each mechanism of tools/ablations.json in a separate
 * clone of the repository, plays the same days in each clone and prints one table
 * row for each mechanism, the first without any change.
 *
 * node tools/run_ablation.js COMMAND DIR --play SITE,DAY,SEED [--play ...]
 *     [--workers N] [--only TEXT]
 *
 * COMMAND is the program that plays a day; DIR takes the clones. SEED may be
 * empty for the day's own seed. The clones keep their journal entries.
 */
import {execFileSync, spawn} from 'node:child_process';
import {
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const DEFAULT_WORKERS = '2';

/** Returns all values of an option that may be repeated. */
function getOptions(name) {
  const values = [];
  for (const [index, argument] of process.argv.entries()) {
    if (argument === name) {
      values.push(process.argv[index + 1]);
    }
  }
  return values;
}

/** Returns the value of an option such as `--workers 4`, or the fallback. */
function getOption(name, fallback) {
  return getOptions(name)[0] ?? fallback;
}

function parsePlay(text) {
  const [site, day, seed = ''] = text.split(',');
  return {site, day, seed};
}

/** Disables a mechanism in a clone; null leaves the code unchanged. */
function applyAblation(folder, ablation) {
  if (ablation === null) {
    return;
  }
  const file = path.join(folder, ablation.file);
  const text = readFileSync(file, 'utf8');
  if (!text.includes(ablation.search)) {
    throw new Error(
      `ablation "${ablation.name}": search text not found in ${ablation.file}`,
    );
  }
  writeFileSync(file, text.replace(ablation.search, ablation.replace));
  execFileSync('git', ['commit', '-qam', `Trial: without ${ablation.name}`], {
    cwd: folder,
  });
}

/** Clones the repository and links its installed packages. */
function createClone(folder, ablation) {
  rmSync(folder, {recursive: true, force: true});
  execFileSync('git', ['clone', '-q', process.cwd(), folder]);
  if (existsSync('node_modules')) {
    const target = path.join(folder, 'node_modules');
    execFileSync('cp', ['-al', 'node_modules', target]);
    execFileSync('touch', [target]);
  }
  applyAblation(folder, ablation);
}

/** Plays a day; returns its journal entry, or null if there is none. */
function playDay(folder, command, {site, day, seed}, why) {
  const journal = path.join(folder, 'journal');
  const before = new Set(readdirSync(journal));
  const seedOption = seed === '' ? [] : ['--seed', seed];
  const options = ['run', site, day, ...seedOption, '--no-cpu', '--why', why];
  return new Promise(resolve => {
    const child = spawn(command, options, {cwd: folder, stdio: 'ignore'});
    child.on('close', () => {
      const added = readdirSync(journal).find(
        name => name.endsWith('.json') && !before.has(name),
      );
      resolve(
        added === undefined
          ? null
          : JSON.parse(readFileSync(path.join(journal, added), 'utf8')),
      );
    });
  });
}

/** Formats worth, worst windows and broken rules of a played day. */
function formatDay(entry) {
  const day = entry?.days?.[0];
  if (day === undefined) {
    return 'not run';
  }
  const windows = day.parts.find(([name]) => name === 'worst windows')?.[2];
  const rules = Object.keys(day.rules).map(
    name => ` ${name} ${JSON.stringify(day.rules[name])}`,
  );
  const fault = day.fault === null ? '' : ` fault: ${day.fault}`;
  return `${day.G} (${windows})${rules.join('')}${fault}`;
}

async function runAblation(ablation, folder, command, plays) {
  const name = ablation === null ? '(nothing)' : ablation.name;
  createClone(folder, ablation);
  const cells = [];
  for (const play of plays) {
    const why = `Ablation: without ${name}`;
    cells.push(formatDay(await playDay(folder, command, play, why)));
  }
  process.stdout.write(`| ${name} | ${cells.join(' | ')} |\n`);
}

async function main() {
  const [, , command, folder] = process.argv;
  const plays = getOptions('--play').map(parsePlay);
  const only = getOption('--only', '');
  const ablations = JSON.parse(readFileSync('tools/ablations.json', 'utf8'));
  const waiting = [
    null,
    ...ablations.filter(({name}) => name.includes(only)),
  ].entries();
  mkdirSync(folder, {recursive: true});
  const titles = plays.map(
    ({site, day, seed}) =>
      `${path.basename(site, '.toml')} ${day}${seed === '' ? '' : ` seed ${seed}`}`,
  );
  process.stdout.write(`| without | ${titles.join(' | ')} |\n`);
  process.stdout.write(`|---|${plays.map(() => '---|').join('')}\n`);
  const workers = Number(getOption('--workers', DEFAULT_WORKERS));
  const work = async () => {
    // The workers share one iterator, so each clone is taken once.
    for (const [index, ablation] of waiting) {
      const clone = path.join(folder, String(index));
      await runAblation(ablation, clone, command, plays);
    }
  };
  await Promise.all(Array.from({length: workers}, work));
}

await main();
