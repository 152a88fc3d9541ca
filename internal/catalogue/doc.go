// Package catalogue is the replicated state machine of control: services,
// presets and the one in force, announced targets and balancers, drains,
// cluster keys, the outcomes of operators' commands and the audit record.
//
// The load pattern it answers is change itself: about 1,100 operators' changes
// and 1,700 restarts a day, racing operators, and commands that are sent again
// because their answer was lost. Without expected versions the slower of two
// operators silently undoes the faster; without command identities a resent
// switch could put an older preset back in force. Both checks run inside Apply,
// in log order, so every replica reaches the same verdict.
//
// Apply uses no clock and no randomness. Times are stamped into a command by
// the control VM that proposes it; the state's clock follows the leader's
// stamps. It paces ramps and the damped steps after silence; it decides nothing
// that an operator was promised.
package catalogue
