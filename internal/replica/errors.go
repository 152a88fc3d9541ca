package replica

import (
	"github.com/go-faster/errors"

	"bergamotstall/internal/raft"
)

// Verdicts on a request that has no outcome.
var (
	// ErrNotRun means that the command is in no log and will never run.
	ErrNotRun = errors.New("replica: not run")
	// ErrOutcomeUnknown means that the command may run, now or later. Whoever
	// needs to know sends it again with the same command identity.
	ErrOutcomeUnknown = errors.New("replica: outcome unknown")
)

// Reasons, beside those of package raft.
var (
	ErrBusy       = errors.New("replica: too many requests wait")
	ErrClosed     = errors.New("replica: closed")
	ErrFailed     = errors.New("replica: takes no further part")
	ErrNoLeader   = errors.New("replica: no leader within reach")
	ErrLostLeader = errors.New("replica: the leader was lost before it answered")
	ErrOverwrote  = errors.New("replica: another leader's entry took the place")
	ErrNobody     = errors.New("replica: no new replica waits under that name")
	ErrTimeout    = errors.New("replica: no answer in time")
	ErrTooLarge   = errors.New("replica: command over the limit")
	errOther      = errors.New("replica: refused by the leader")
)

// RequestError is a request without an outcome. It matches ErrNotRun or
// ErrOutcomeUnknown, and its reason.
type RequestError struct {
	verdict verdict
	Reason  error
}

func (e *RequestError) Error() string { return e.kind().Error() + ": " + e.Reason.Error() }

func (e *RequestError) kind() error {
	if e.verdict == verdictNotRun {
		return ErrNotRun
	}
	return ErrOutcomeUnknown
}

// Is matches the verdict.
func (e *RequestError) Is(target error) bool { return target == e.kind() }

// Unwrap returns the reason.
func (e *RequestError) Unwrap() error { return e.Reason }

func notRun(reason error) error { return &RequestError{verdict: verdictNotRun, Reason: reason} }

func unknown(reason error) error { return &RequestError{verdict: verdictUnknown, Reason: reason} }

// reasons are in the order of their codes; append only.
var reasons = []error{
	errOther, ErrBusy, ErrClosed, ErrFailed, ErrNoLeader, ErrLostLeader, ErrOverwrote, ErrNobody, ErrTimeout,
	raft.ErrNotLeader, raft.ErrNoLeader, raft.ErrBusy, raft.ErrChangeOpen, raft.ErrUnknown,
	raft.ErrMember, raft.ErrRemoved, raft.ErrTooMany, raft.ErrLastVoter, raft.ErrNameInUse,
	raft.ErrTooManyVoterChanges, ErrTooLarge,
}

func codeOf(err error) reasonCode {
	for i, reason := range reasons {
		if errors.Is(err, reason) {
			return reasonCode(i)
		}
	}
	return 0
}

func reasonOf(code reasonCode) error {
	if int(code) < len(reasons) {
		return reasons[code]
	}
	return errOther
}
