import {describe, expect, it} from 'vitest';
import {rankHolders} from './rank_holders.js';

function createCandidates(count: number, processorCores = 1) {
  return Array.from({length: count}, (_, index) => ({
    entryVm: `edge-${index}`,
    processorCores,
  }));
}

function listGroups(count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `group-${index}`);
}

describe('rankHolders', () => {
  it('gives the same order whatever the order of the candidates', () => {
    const candidates = createCandidates(12);
    const reversed = [...candidates].reverse();
    expect(rankHolders('group', reversed)).toEqual(
      rankHolders('group', candidates),
    );
  });

  // Guards against a move of all connections when one proxy comes or goes.
  it('keeps the order of the others when a candidate is removed', () => {
    const candidates = createCandidates(12);
    const [first, ...others] = rankHolders('group', candidates);
    const remaining = candidates.filter(candidate => candidate !== first);
    expect(rankHolders('group', remaining)).toEqual(others);
  });

  it('gives machines groups in proportion to their cores', () => {
    const large = {entryVm: 'large', processorCores: 4};
    const candidates = [...createCandidates(4), large];
    const groups = listGroups(2_000);
    let ofLarge = 0;
    for (const group of groups) {
      ofLarge += rankHolders(group, candidates)[0] === large ? 1 : 0;
    }
    const share = ofLarge / groups.length;
    expect(share).toBeGreaterThan(0.45);
    expect(share).toBeLessThan(0.55);
  });
});
