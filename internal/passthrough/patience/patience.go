// Package patience decides how long a caller may wait for a busy target, and in which
// order waiting callers get their turn. It does no network I/O and reads no clock.
//
// The load that it answers: callers ask for more than the targets of a service can run. A
// target that works off what has waited the longest answers everybody late; one that takes
// the newest first leaves the others waiting until they give up. Here a route's
// response-time goal and timeout decide. Among equally urgent callers those go first whose
// answer can still meet the goal, and among these the one with the least time left; whoever
// can't be answered in time is told at once that nothing ran, and has its remaining time
// for another attempt.
package patience
