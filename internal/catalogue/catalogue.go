package catalogue

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/table"
)

// ErrSnapshot is returned for a snapshot that can't be decoded.
var ErrSnapshot = errors.New("catalogue: snapshot can't be decoded")

// Catalogue is one replica's copy of the state. It implements
// replica.StateMachine. Its read methods are safe for use concurrently with Apply.
type Catalogue struct {
	mu    sync.RWMutex
	state State

	// Indexes, derived from state by rebuildIndexes.
	outcomeByID map[string]*OutcomeRecord
	agentByName map[string]table.AgentNumber
	drained     map[string]bool
	// serviceNames is read once per target when a preset is switched.
	serviceNames map[table.ServiceID]string
	// retentionMS holds retiredRetentionMS of each service.
	retentionMS map[table.ServiceID]int64
	// agentByHost holds the current agent of each service on each host.
	agentByHost map[serviceHost]table.AgentNumber

	// tableChanged is set by a command that changes the content of the table.
	tableChanged bool
	changed      chan struct{}
	// cachedTable is the table of the current revision, built on the first read.
	cachedTable *table.Table
}

// serviceHost identifies one host of one service.
type serviceHost struct {
	service table.ServiceID
	host    string
}

// New returns an empty catalogue without services or presets. Its version is 1, because
// 0 in a command means any version and the first change needs a version check too.
func New() *Catalogue {
	c := &Catalogue{state: State{Version: 1}, changed: make(chan struct{})}
	c.rebuildIndexes()
	return c
}

// Apply runs one committed command and returns an encoded Outcome.
func (c *Catalogue) Apply(index uint64, command []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cmd Command
	var out Outcome
	if _, err := cmd.UnmarshalMsg(command); err != nil {
		out = c.outcome(NotValid, "the command can't be read")
	} else {
		out = c.run(index, &cmd)
	}
	data, err := out.MarshalMsg(nil)
	if err != nil {
		// An Outcome has no field that can fail to encode.
		panic(fmt.Sprintf("catalogue: encode outcome: %v", err))
	}
	return data
}

// run applies a command and records its outcome. A resent command returns the recorded
// outcome and changes nothing.
func (c *Catalogue) run(index uint64, cmd *Command) Outcome {
	fingerprint, err := cmd.fingerprint()
	if err != nil {
		return c.outcome(NotValid, "the command can't be encoded")
	}
	if recorded, ok := c.outcomeByID[cmd.ID]; ok && cmd.ID != "" {
		if bytes.Equal(recorded.Fingerprint, fingerprint) {
			return recorded.Outcome
		}
		out := c.outcome(Reused, "the identity stands for another command")
		out.Subject = cmd.ID
		return out
	}
	c.advanceClock(cmd)
	c.tableChanged = false
	c.expire()
	out := c.dispatch(cmd)
	if c.tableChanged {
		c.publish(table.Revision(index))
	}
	out.Version, out.Revision = c.state.Version, c.state.Revision
	c.recordOutcome(index, cmd, fingerprint, out)
	return out
}

// advanceClock sets the state's clock. A sweep sets it to the leader's time; between
// sweeps the timestamps of other VMs advance it by at most maxClockAdvance. Without this
// limit a control VM whose clock is an hour ahead would date weight changes an hour into
// the future, and an accepted preset would take effect only after that hour.
func (c *Catalogue) advanceClock(cmd *Command) {
	if cmd.Sweep != nil {
		c.state.ClockMS, c.state.LastSweepMS = cmd.AtMS, cmd.AtMS
		return
	}
	at := cmd.AtMS
	if c.state.LastSweepMS != 0 {
		at = min(at, c.state.LastSweepMS+maxClockAdvance.Milliseconds())
	}
	c.state.ClockMS = max(c.state.ClockMS, at)
}

const (
	// SweepInterval is how often the leader proposes a sweep, which sets the state's
	// clock. It adds 8,640 log entries a day.
	SweepInterval = 10 * time.Second
	// maxClockAdvance limits how far the clock runs past the last sweep. It exceeds
	// SweepInterval by the time that an election takes.
	maxClockAdvance = 15 * time.Second
)

// publish gives the changed table its revision and wakes the readers that wait on
// Changed.
func (c *Catalogue) publish(revision table.Revision) {
	c.state.Revision = revision
	c.recordPreparedAt()
	c.cachedTable = nil
	close(c.changed)
	c.changed = make(chan struct{})
}

// dispatch calls the handler of the command.
func (c *Catalogue) dispatch(cmd *Command) Outcome {
	switch {
	case cmd.AnnounceAgent != nil:
		return c.announceAgent(cmd)
	case cmd.AnnounceBalancer != nil:
		return c.announceBalancer(cmd)
	case cmd.AgentSilent != nil:
		return c.agentSilent(cmd)
	case cmd.BalancerSilent != nil:
		return c.balancerSilent(cmd)
	case cmd.Sweep != nil:
		return c.outcome(Done, "swept")
	}
	return c.runOperatorCommand(cmd)
}

// runOperatorCommand checks the ID and the expected version of an operator's command
// and runs it.
func (c *Catalogue) runOperatorCommand(cmd *Command) Outcome {
	if cmd.ID == "" || len(cmd.ID) > maxIDLength || len(cmd.Operator) > maxIDLength {
		return c.outcome(NotValid, fmt.Sprintf("a command identity has 1 to %d bytes, an operator's name at most as many", maxIDLength))
	}
	if cmd.Expected != 0 && cmd.Expected != c.state.Version {
		return c.outcome(Conflict, fmt.Sprintf("expected version %d, the current one is %d", cmd.Expected, c.state.Version))
	}
	var out Outcome
	switch {
	case cmd.Apply != nil:
		out = c.applyDefinition(&cmd.Apply.Definition)
	case cmd.Switch != nil:
		out = c.switchPreset(cmd.Switch.Preset)
	case cmd.Drain != nil:
		out = c.drain(cmd.Drain.Host)
	case cmd.Undrain != nil:
		out = c.undrain(cmd.Undrain.Host)
	case cmd.RotateKeys != nil:
		out = c.rotateKeys(cmd.RotateKeys)
	default:
		return c.outcome(NotValid, "this version of control doesn't know the command")
	}
	if out.Code == Done && cmd.RotateKeys == nil {
		out.Text += c.noTargetWarning()
	}
	// Control itself proposes the first keys. They don't increase the version, so that
	// they don't cause a conflict for an operator's next command.
	firstKeys := cmd.RotateKeys != nil && cmd.RotateKeys.Step == KeyStepFirst
	if out.Code == Done && !firstKeys {
		c.state.Version++
	}
	return out
}

// maxIDLength limits a command ID and an operator's name, in bytes.
const maxIDLength = 128

func (c *Catalogue) outcome(code Code, text string) Outcome {
	return Outcome{Code: code, Version: c.state.Version, Revision: c.state.Revision, Text: text}
}

// recordOutcome adds a command to the audit or fleet record and keeps the outcome of an
// operator's command for resends.
func (c *Catalogue) recordOutcome(index uint64, cmd *Command, fingerprint []byte, out Outcome) {
	record := Record{
		Index: index, AtMS: cmd.AtMS, Who: cmd.actor(), ProposedBy: cmd.ProposedBy, ID: cmd.ID,
		What: cmd.describe(), Code: out.Code, Outcome: out.Text, Version: out.Version,
	}
	if !cmd.FromOperator() {
		if cmd.Sweep == nil {
			c.state.Fleet = keepLast(append(c.state.Fleet, record), MaxFleetRecords)
		}
		return
	}
	c.state.Audit = keepLast(append(c.state.Audit, record), MaxAuditRecords)
	if cmd.ID == "" || len(cmd.ID) > maxIDLength {
		return
	}
	c.state.Outcomes = append(c.state.Outcomes, OutcomeRecord{ID: cmd.ID, Fingerprint: fingerprint, Outcome: out})
	kept := &c.state.Outcomes[len(c.state.Outcomes)-1]
	c.outcomeByID[cmd.ID] = &OutcomeRecord{ID: kept.ID, Fingerprint: kept.Fingerprint, Outcome: kept.Outcome}
	for len(c.state.Outcomes) > MaxOutcomes {
		delete(c.outcomeByID, c.state.Outcomes[0].ID)
		c.state.Outcomes = c.state.Outcomes[1:]
	}
}

// keepLast drops the oldest records beyond the limit.
func keepLast(records []Record, limit int) []Record {
	if excess := len(records) - limit; excess > 0 {
		return records[excess:]
	}
	return records
}

// Snapshot implements replica.StateMachine.
func (c *Catalogue) Snapshot() ([]byte, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	data, err := c.state.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "catalogue: encode snapshot")
	}
	return data, nil
}

// Restore implements replica.StateMachine.
func (c *Catalogue) Restore(snapshot []byte) error {
	var next State
	rest, err := next.UnmarshalMsg(snapshot)
	if err != nil || len(rest) > 0 {
		return errors.Wrapf(ErrSnapshot, "%d bytes, %d left over: %v", len(snapshot), len(rest), err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = next
	c.cachedTable = nil
	c.rebuildIndexes()
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// rebuildIndexes derives all indexes from the state.
func (c *Catalogue) rebuildIndexes() {
	c.outcomeByID = make(map[string]*OutcomeRecord, len(c.state.Outcomes))
	for _, o := range c.state.Outcomes {
		c.outcomeByID[o.ID] = &o
	}
	c.drained = make(map[string]bool, len(c.state.Drains))
	for _, host := range c.state.Drains {
		c.drained[host] = true
	}
	c.indexServices()
	c.agentByName = make(map[string]table.AgentNumber, len(c.state.Agents))
	c.agentByHost = make(map[serviceHost]table.AgentNumber, len(c.state.Agents))
	for i := range c.state.Agents {
		c.indexAgent(&c.state.Agents[i])
	}
}

func (c *Catalogue) indexServices() {
	c.serviceNames = make(map[table.ServiceID]string, len(c.state.Services))
	c.retentionMS = make(map[table.ServiceID]int64, len(c.state.Services))
	for i := range c.state.Services {
		s := &c.state.Services[i]
		c.retentionMS[s.ID] = s.retiredRetentionMS()
		c.serviceNames[s.ID] = s.Spec.Name
	}
}

// indexAgent makes a the current agent of its name and of its service's host, unless it
// was replaced.
func (c *Catalogue) indexAgent(a *Agent) {
	if a.Replaced {
		return
	}
	c.agentByName[a.Name] = a.Number
	c.agentByHost[serviceHost{a.Service, a.Host}] = a.Number
}

// Changed returns a channel that is closed at the next change of the table.
func (c *Catalogue) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}
