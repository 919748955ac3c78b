import {
  SeededRandom,
  type RandomSource,
} from '@filbertrun/base/random_source.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {configurationMachine} from '@filbertrun/configuration/configuration_core.js';
import {
  createDrain,
  createGroup,
  createRequest,
} from '@filbertrun/configuration/configuration_fixtures.js';
import {
  readAcceptedConfiguration,
  submitChange,
} from '@filbertrun/configuration/submit_change.js';
import {InMemoryPlatformService} from '@filbertrun/platform/in_memory_platform_service.js';
import {assign, createActor, type Actor} from 'xstate';
import type {Violation} from './booking_oracle.js';
import type {PathRules} from './path_rules.js';

const GROUP = 'db';
const PROXY_COUNT = 3;
const CHANGE_COUNT = 6;
const POLL_COUNT = 8;
const DURATION_MS = 1500;
const MAX_DELIVERY_MS = 300;
const MAX_OUTAGE_MS = 300;

/** A machine that applies the version that arrives last, even an older one. */
const unorderedMachine = configurationMachine.provide({
  actions: {
    applyEvent: assign(({event}) =>
      event.type === 'configurationObtained' ? {held: event.held} : {},
    ),
  },
});

type ConfigurationActor = Actor<typeof configurationMachine>;

/**
 * A history of concurrent changes of the configuration by operators. Proxies
 * poll it and receive the versions in any order, during platform outages and
 * dropped responses.
 *
 * @public
 */
export class ConfigurationHistory {
  private readonly clock = VirtualClock.create();
  private readonly random: RandomSource;
  private readonly platform: InMemoryPlatformService;
  private readonly violations: Violation[] = [];
  private readonly acceptedVersions: number[] = [];

  private constructor(
    seed: number,
    private readonly rules: PathRules,
  ) {
    this.random = SeededRandom.create(seed);
    this.platform = InMemoryPlatformService.create({clock: this.clock});
  }

  static run(seed: number, rules: PathRules): Promise<readonly Violation[]> {
    return new ConfigurationHistory(seed, rules).run();
  }

  private async run(): Promise<readonly Violation[]> {
    const actors: ConfigurationActor[] = [];
    for (let proxy = 0; proxy < PROXY_COUNT; proxy++) {
      const machine = this.rules.acceptsOnlyNewerConfiguration()
        ? configurationMachine
        : unorderedMachine;
      actors.push(createActor(machine).start());
    }
    const databaseGroups = [createGroup(GROUP)];
    void this.submit(
      createRequest('start', {kind: 'replaceDatabaseGroups', databaseGroups}),
    );
    this.scheduleChanges();
    this.scheduleFaults();
    for (const actor of actors) {
      this.schedulePolls(actor);
    }
    await this.drainTimers();
    this.platform.setOutage(false);
    await this.checkFinal(actors);
    return this.violations;
  }

  private scheduleChanges(): void {
    for (let change = 0; change < CHANGE_COUNT; change++) {
      const server = ['a', 'b', 'c'][change % 3] ?? 'a';
      const request = createRequest(
        `change-${change}`,
        createDrain(`${GROUP}-${server}`),
      );
      this.clock.startTimer(this.drawTimeMs(), () => {
        void this.submit(request);
      });
    }
  }

  private scheduleFaults(): void {
    this.platform.setLatencyMs(this.random.nextInteger(2, 60));
    const startMs = this.drawTimeMs();
    const lengthMs = this.random.nextInteger(10, MAX_OUTAGE_MS);
    this.clock.startTimer(startMs, () => this.platform.setOutage(true));
    this.clock.startTimer(startMs + lengthMs, () =>
      this.platform.setOutage(false),
    );
    this.clock.startTimer(this.drawTimeMs(), () =>
      this.platform.dropNextResponse(),
    );
  }

  private schedulePolls(actor: ConfigurationActor): void {
    for (let poll = 0; poll < POLL_COUNT; poll++) {
      const deliveryMs = this.random.nextInteger(0, MAX_DELIVERY_MS);
      this.clock.startTimer(this.drawTimeMs(), () => {
        void this.poll(actor, deliveryMs);
      });
    }
  }

  private async poll(
    actor: ConfigurationActor,
    deliveryMs: number,
  ): Promise<void> {
    const current = await readAcceptedConfiguration(this.platform);
    if (!current.ok) {
      return;
    }
    const {held} = current.value;
    this.clock.startTimer(deliveryMs, () => {
      const before = getVersion(actor);
      actor.send({type: 'configurationObtained', held});
      const after = getVersion(actor);
      if (after < before) {
        this.report('configuration reverted', `${before} to ${after}`);
      }
    });
  }

  private async submit(
    request: ReturnType<typeof createRequest>,
  ): Promise<void> {
    const {platform, clock, random} = this;
    const result = await submitChange(request, {platform, clock, random});
    if (result.ok && result.value.effect === 'accepted') {
      this.acceptedVersions.push(result.value.version);
    }
  }

  private async checkFinal(
    actors: readonly ConfigurationActor[],
  ): Promise<void> {
    if (new Set(this.acceptedVersions).size < this.acceptedVersions.length) {
      this.report('version accepted twice', `${this.acceptedVersions}`);
    }
    for (const actor of actors) {
      void this.poll(actor, 0);
    }
    await this.drainTimers();
    const newest = Math.max(0, ...this.acceptedVersions);
    for (const actor of actors) {
      if (getVersion(actor) < newest) {
        this.report('accepted configuration not applied', `${newest}`);
      }
    }
  }

  private async drainTimers(): Promise<void> {
    await settlePromises();
    for (;;) {
      const delayMs = this.clock.getDelayToNextTimerMs();
      if (delayMs === null) {
        return;
      }
      this.clock.advance(delayMs + 1e-6);
      await settlePromises();
    }
  }

  private drawTimeMs(): number {
    return this.random.nextInteger(1, DURATION_MS);
  }

  private report(rule: string, detail: string): void {
    this.violations.push({rule, detail});
  }
}

function getVersion(actor: ConfigurationActor): number {
  return actor.getSnapshot().context.held?.configuration.version ?? 0;
}

function settlePromises(): Promise<void> {
  return new Promise(resolve => setImmediate(resolve));
}
