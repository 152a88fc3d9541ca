package catalogue

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/table"
)

// ErrSnapshot is returned for a snapshot that can't be read.
var ErrSnapshot = errors.New("catalogue: unreadable snapshot")

// Catalogue is one replica's copy of the state. It implements
// replica.StateMachine; its reading methods may run beside Apply.
type Catalogue struct {
	mu    sync.RWMutex
	state Stored

	// Found again from state by reindex.
	outcomes map[string]*OutcomeRecord
	agents   map[string]table.AgentNumber
	drains   map[string]bool
	// names are the services' by ID: looked up for every target at a switch.
	names map[table.ServiceID]string
	// retiredKept is retiredKeptMS by service.
	retiredKept map[table.ServiceID]int64
	// hostOf finds the current agent of a service's host.
	hostOf map[place]table.AgentNumber

	// altered is set by a handler that changes what the table says.
	altered bool
	changed chan struct{}
	// built is the table of built.Revision, made when asked for.
	built *table.Table
}

// place is one host of one service.
type place struct {
	service table.ServiceID
	host    string
}

// New returns an empty catalogue without services or preset. Its version is 1:
// 0 in a command stands for any version, and the first change can race too.
func New() *Catalogue {
	c := &Catalogue{state: Stored{Version: 1}, changed: make(chan struct{})}
	c.reindex()
	return c
}

// Apply runs one committed command. The returned bytes are an Outcome.
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
		// Outcomes hold no value that the encoder refuses.
		panic(fmt.Sprintf("catalogue: encode outcome: %v", err))
	}
	return data
}

// run applies a command once and remembers what came of it.
func (c *Catalogue) run(index uint64, cmd *Command) Outcome {
	fingerprint, err := cmd.fingerprint()
	if err != nil {
		return c.outcome(NotValid, "the command can't be encoded")
	}
	if first, ok := c.outcomes[cmd.ID]; ok && cmd.ID != "" {
		if bytes.Equal(first.Fingerprint, fingerprint) {
			return first.Outcome
		}
		out := c.outcome(Reused, "the identity stands for another command")
		out.Subject = cmd.ID
		return out
	}
	c.tick(cmd)
	c.altered = false
	c.expire()
	out := c.dispatch(cmd)
	if c.altered {
		c.publish(table.Revision(index))
	}
	out.Version, out.Revision = c.state.Version, c.state.Revision
	c.remember(index, cmd, fingerprint, out)
	return out
}

// tick moves the state's clock. It is the leader's, set by its beats; between
// two of them other VMs' stamps move it on by clockSlack at most. A control VM
// whose clock is an hour ahead would else date changes of weight an hour into
// the future, ramps would wait for that hour, and a preset that was accepted
// would not be in force.
func (c *Catalogue) tick(cmd *Command) {
	if cmd.Sweep != nil {
		c.state.ClockMS, c.state.BeatMS = cmd.AtMS, cmd.AtMS
		return
	}
	at := cmd.AtMS
	if c.state.BeatMS != 0 {
		at = min(at, c.state.BeatMS+clockSlack.Milliseconds())
	}
	c.state.ClockMS = max(c.state.ClockMS, at)
}

const (
	// BeatEvery is how often the leader sets the state's clock: 8,640 entries a
	// day.
	BeatEvery = 10 * time.Second
	// clockSlack leaves a new leader the time of an election beyond that.
	clockSlack = 15 * time.Second
)

// publish gives the altered table its revision and wakes who waits for it.
func (c *Catalogue) publish(revision table.Revision) {
	c.state.Revision = revision
	c.stampKeys()
	c.built = nil
	close(c.changed)
	c.changed = make(chan struct{})
}

// dispatch runs the command's change.
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
	return c.operate(cmd)
}

// operate runs an operator's change: it needs an identity and the version.
func (c *Catalogue) operate(cmd *Command) Outcome {
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
		out.Text += c.starvation()
	}
	// The first keys are control's own doing; no operator's next command should
	// conflict with them.
	first := cmd.RotateKeys != nil && cmd.RotateKeys.Step == KeyFirst
	if out.Code == Done && !first {
		c.state.Version++
	}
	return out
}

const maxIDLength = 128

func (c *Catalogue) outcome(code Code, text string) Outcome {
	return Outcome{Code: code, Version: c.state.Version, Revision: c.state.Revision, Text: text}
}

// remember keeps an operator's outcome for resends and writes the audit record.
func (c *Catalogue) remember(index uint64, cmd *Command, fingerprint []byte, out Outcome) {
	record := Record{
		Index: index, AtMS: cmd.AtMS, Who: cmd.who(), Via: cmd.Via, ID: cmd.ID,
		What: cmd.describe(), Code: out.Code, Outcome: out.Text, Version: out.Version,
	}
	if !cmd.Operators() {
		if cmd.Sweep == nil {
			c.state.Fleet = keepLast(append(c.state.Fleet, record), FleetKept)
		}
		return
	}
	c.state.Audit = keepLast(append(c.state.Audit, record), AuditKept)
	if cmd.ID == "" || len(cmd.ID) > maxIDLength {
		return
	}
	c.state.Outcomes = append(c.state.Outcomes, OutcomeRecord{ID: cmd.ID, Fingerprint: fingerprint, Outcome: out})
	kept := &c.state.Outcomes[len(c.state.Outcomes)-1]
	c.outcomes[cmd.ID] = &OutcomeRecord{ID: kept.ID, Fingerprint: kept.Fingerprint, Outcome: kept.Outcome}
	for len(c.state.Outcomes) > OutcomesKept {
		delete(c.outcomes, c.state.Outcomes[0].ID)
		c.state.Outcomes = c.state.Outcomes[1:]
	}
}

// keepLast drops the oldest entries over the limit.
func keepLast(records []Record, limit int) []Record {
	if over := len(records) - limit; over > 0 {
		return records[over:]
	}
	return records
}

// Snapshot implements replica.StateMachine.
func (c *Catalogue) Snapshot() ([]byte, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	data, err := c.state.MarshalMsg(nil)
	if err != nil {
		return nil, errors.Wrap(err, "catalogue: snapshot")
	}
	return data, nil
}

// Restore implements replica.StateMachine.
func (c *Catalogue) Restore(snapshot []byte) error {
	var next Stored
	rest, err := next.UnmarshalMsg(snapshot)
	if err != nil || len(rest) > 0 {
		return errors.Wrapf(ErrSnapshot, "%d bytes, %d left over: %v", len(snapshot), len(rest), err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = next
	c.built = nil
	c.reindex()
	close(c.changed)
	c.changed = make(chan struct{})
	return nil
}

// reindex finds the lookups again from the state.
func (c *Catalogue) reindex() {
	c.outcomes = make(map[string]*OutcomeRecord, len(c.state.Outcomes))
	for _, o := range c.state.Outcomes {
		c.outcomes[o.ID] = &o
	}
	c.drains = make(map[string]bool, len(c.state.Drains))
	for _, host := range c.state.Drains {
		c.drains[host] = true
	}
	c.indexServices()
	c.agents = make(map[string]table.AgentNumber, len(c.state.Agents))
	c.hostOf = make(map[place]table.AgentNumber, len(c.state.Agents))
	for i := range c.state.Agents {
		c.index(&c.state.Agents[i])
	}
}

func (c *Catalogue) indexServices() {
	c.names = make(map[table.ServiceID]string, len(c.state.Services))
	c.retiredKept = make(map[table.ServiceID]int64, len(c.state.Services))
	for i := range c.state.Services {
		s := &c.state.Services[i]
		c.retiredKept[s.ID] = s.retiredKeptMS()
		c.names[s.ID] = s.Spec.Name
	}
}

// index makes a the current agent of its name and host, unless it was replaced.
func (c *Catalogue) index(a *Agent) {
	if a.Replaced {
		return
	}
	c.agents[a.Name] = a.Number
	c.hostOf[place{a.Service, a.Host}] = a.Number
}

// Changed returns a channel that is closed at the next change of the table.
func (c *Catalogue) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}
