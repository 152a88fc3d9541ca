package replica

import (
	"github.com/go-faster/errors"

	"bergamotstall/internal/raft"
)

// Every RequestError matches one of these.
var (
	// ErrNotRun means that the command is in no log and will never run.
	ErrNotRun = errors.New("replica: request not run")
	// ErrOutcomeUnknown means that the command may have run or may still run. A caller
	// that needs to know resends it with the same command ID.
	ErrOutcomeUnknown = errors.New("replica: outcome unknown")
)

// Reasons of a RequestError, in addition to those of package raft.
var (
	ErrBusy          = errors.New("replica: too many pending requests")
	ErrClosed        = errors.New("replica: closed")
	ErrFailed        = errors.New("replica: stopped after a failure")
	ErrNoLeader      = errors.New("replica: no leader reachable")
	ErrLostLeader    = errors.New("replica: leader lost before it replied")
	ErrOverwritten   = errors.New("replica: entry overwritten by another leader")
	ErrNoReplacement = errors.New("replica: no replacement with that name is waiting")
	ErrTimeout       = errors.New("replica: timed out")
	ErrTooLarge      = errors.New("replica: command exceeds the size limit")
	errOther         = errors.New("replica: refused by the leader")
)

// RequestError is the error of a request without an outcome. It matches its reason, and
// either ErrNotRun or ErrOutcomeUnknown.
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

// Is reports whether target is ErrNotRun or ErrOutcomeUnknown, whichever applies.
func (e *RequestError) Is(target error) bool { return target == e.kind() }

// Unwrap returns the reason.
func (e *RequestError) Unwrap() error { return e.Reason }

func notRun(reason error) error { return &RequestError{verdict: verdictNotRun, Reason: reason} }

func outcomeUnknown(reason error) error {
	return &RequestError{verdict: verdictUnknown, Reason: reason}
}

// reasons maps reason codes, which are sent between replicas, to errors. Only append to
// it.
var reasons = []error{
	errOther, ErrBusy, ErrClosed, ErrFailed, ErrNoLeader, ErrLostLeader, ErrOverwritten, ErrNoReplacement, ErrTimeout,
	raft.ErrNotLeader, raft.ErrNoLeader, raft.ErrBusy, raft.ErrChangePending, raft.ErrUnknownMember,
	raft.ErrAlreadyMember, raft.ErrRemoved, raft.ErrTooManyMembers, raft.ErrLastVoter, raft.ErrNameInUse,
	raft.ErrTooManyVoterChanges, ErrTooLarge, raft.ErrNoStandby,
}

func reasonCodeOf(err error) reasonCode {
	for i, reason := range reasons {
		if errors.Is(err, reason) {
			return reasonCode(i)
		}
	}
	return 0
}

func reasonForCode(code reasonCode) error {
	if int(code) < len(reasons) {
		return reasons[code]
	}
	return errOther
}
