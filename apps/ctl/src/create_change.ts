import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {ConfigurationChange} from '@filbertrun/configuration/configuration_change.js';
import type {CtlCommand, CtlSettings} from './ctl_settings.js';

/**
 * Translates commands of filbertrun-ctl into configuration changes.
 *
 * @internal
 */

/** A command that changes the configuration. @internal */
export type ChangeCommand = Exclude<CtlCommand, 'change-primary' | 'status'>;

/** A missing or invalid operand or setting. @internal */
export interface OperandError {
  readonly kind: 'invalidOperand';
  readonly reason: string;
}

const WEIGHT_PATTERN = /^([^=]{1,64})=(\d{1,3})$/;

const MAX_WEIGHT = 100;

/** Creates the configuration change of a command. @internal */
export function createChange(
  command: ChangeCommand,
  operands: readonly string[],
  settings: CtlSettings,
): Result<ConfigurationChange, OperandError> {
  const [first = '', second = ''] = operands;
  switch (command) {
    case 'drain':
      return success({kind: 'drainBackendServer', backendServer: first});
    case 'undrain':
      return success({kind: 'undrainBackendServer', backendServer: first});
    case 'remove':
      return success({kind: 'removeBackendServer', backendServer: first});
    case 'add':
      return createAddition(first, second, settings);
    case 'shift':
      return createShift(operands);
  }
}

function createAddition(
  databaseGroup: string,
  backendServer: string,
  settings: CtlSettings,
): Result<ConfigurationChange, OperandError> {
  const {availabilityZone, backendHost, backendPort} = settings;
  if (availabilityZone === '' || backendHost === '') {
    const reason = 'add needs --availability-zone and --backend-host';
    return failure({kind: 'invalidOperand', reason});
  }
  return success({
    kind: 'addBackendServer',
    databaseGroup,
    server: {
      backendServer,
      availabilityZone,
      host: backendHost,
      port: backendPort,
      state: 'active',
      weight: settings.weight,
      slots: settings.slots,
      maxConnections: settings.maxConnections,
    },
  });
}

function createShift(
  operands: readonly string[],
): Result<ConfigurationChange, OperandError> {
  const weights: {backendServer: string; weight: number}[] = [];
  for (const operand of operands) {
    const match = WEIGHT_PATTERN.exec(operand);
    const weight = Number(match?.[2]);
    if (match === null || weight > MAX_WEIGHT) {
      const reason = `"${operand}" is not allowed; allowed: NAME=WEIGHT with a weight from 0 to 100`;
      return failure({kind: 'invalidOperand', reason});
    }
    weights.push({backendServer: match[1] ?? '', weight});
  }
  return success({kind: 'shiftLoad', weights});
}
