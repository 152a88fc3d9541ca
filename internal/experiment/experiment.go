// Package experiment drives the decisions of packages admission, placement, slowstart
// and retry under load, in small seeded event loops with a simulated clock and
// against baselines, so that defaults and thresholds are chosen from figures that anyone can repeat:
//
//	bergamotctl experiment placement|sweeps|slots|retries
//
// It knows no packets and no lost messages; its targets have no trait but a time
// per request. docs/PLACEMENT.md has its tables.
package experiment
