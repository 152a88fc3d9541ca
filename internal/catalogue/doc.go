// Package catalogue is the replicated state machine of control: services,
// presets and the one in force, announced targets and balancers, drains,
// cluster keys, the outcomes of operators' commands and the audit record.
//
// It is designed for about 1,100 operator changes and 1,700 agent restarts a day,
// concurrent operators, and commands that are sent again because their reply was
// lost. The expected version of a command prevents one operator from silently
// undoing another's change; the command ID prevents a resent switch from putting an
// older preset back in force. Both checks run inside Apply, in log order, so that
// every replica reaches the same result.
//
// Apply is deterministic: it reads no clock and no random source. The control VM that
// proposes a command adds the time to it, and the state's clock follows the leader's
// timestamps. This clock times weight ramps and the steps after an agent falls silent;
// no result that an operator has been given depends on it.
package catalogue
