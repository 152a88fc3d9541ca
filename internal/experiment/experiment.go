// Package experiment evaluates the decisions of packages admission, placement, slowstart
// and retry under load and compares them with baselines. It uses small discrete-event
// simulations with a simulated clock; a seed makes each run repeatable:
//
//	bergamotctl experiment placement|sweeps|slots|retries
//
// It doesn't simulate packets or lost messages, and a target is described only by its
// time per request. The tables are in docs/PLACEMENT.md.
package experiment
