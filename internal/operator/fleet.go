package operator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"bergamotstall/internal/distribution"
	"bergamotstall/internal/table"
)

// Fleet is what the given control VMs know together. A VM learns the revision
// of a subscriber only from the subscriber's own stream, and the streams are
// spread over all VMs; so the operator's tool asks every VM and merges. The
// ways weighed: acknowledgements through the log (13,200 subscribers would
// write an entry each per change), and VMs that exchange summaries (one more
// protocol, for an answer that is wanted a few times a day).
type Fleet struct {
	VMs []VMStatus `json:"vms"`
	// Balancers are those that the catalogue knows, each with its newest word.
	Balancers []BalancerStatus `json:"balancers"`
	// View is the catalogue's summary as of now; nil where no quorum answered.
	View *View `json:"current,omitempty"`
	// NoQuorum says why there is no View.
	NoQuorum string `json:"noQuorum,omitempty"`
}

// VMStatus is one control VM's word, or why there is none.
type VMStatus struct {
	Address string       `json:"address"`
	Local   *LocalStatus `json:"local,omitempty"`
	Err     string       `json:"error,omitempty"`
}

// BalancerStatus is one balancer's place in the distribution.
type BalancerStatus struct {
	Balancer
	// Heard is false where no asked VM has the balancer's stream.
	Heard bool `json:"heard"`
	// Revision is the newest that it acknowledged, AgeMS how old that word is.
	Revision table.Revision `json:"revision"`
	AgeMS    int64          `json:"ageMs"`
}

// Fleet asks every VM at once and merges their words.
func (c *Client) Fleet(ctx context.Context) *Fleet {
	f := &Fleet{VMs: make([]VMStatus, len(c.Addresses))}
	var asked sync.WaitGroup
	for i, address := range c.Addresses {
		asked.Go(func() {
			f.VMs[i] = VMStatus{Address: address}
			local, err := c.Local(ctx, address)
			if err != nil {
				f.VMs[i].Err = err.Error()
				return
			}
			f.VMs[i].Local = &local
		})
	}
	asked.Wait()
	view, err := c.Read(ctx, PartFleetState)
	if err != nil {
		f.NoQuorum = err.Error()
		return f
	}
	f.View = view
	words := f.newest()
	for _, b := range view.Balancers {
		word, heard := words[subject{distribution.RoleBalancer.String(), b.Name}]
		f.Balancers = append(f.Balancers, BalancerStatus{Balancer: b, Heard: heard, Revision: word.Revision, AgeMS: word.AgeMS})
	}
	return f
}

// subject is a subscriber, whichever VM its stream ends at.
type subject struct{ role, name string }

// newest finds each subscriber's newest word among the VMs'. One that moved may
// still stand in its old VM's list for a while.
func (f *Fleet) newest() map[subject]Subscriber {
	out := make(map[subject]Subscriber)
	for _, vm := range f.VMs {
		if vm.Local == nil {
			continue
		}
		for _, s := range vm.Local.Subscribers {
			k := subject{s.Role, s.Name}
			if known, ok := out[k]; !ok || s.AgeMS < known.AgeMS {
				out[k] = s
			}
		}
	}
	return out
}

// Behind names everyone who may not have the revision: live balancers, attached
// agents, and control VMs that gave no word, whose subscribers aren't known.
func (f *Fleet) Behind(revision table.Revision) []string {
	var out []string
	for _, b := range f.Lagging(revision) {
		out = append(out, "balancer "+b.Name)
	}
	for k, s := range f.newest() {
		if k.role == distribution.RoleAgent.String() && s.Revision < revision {
			out = append(out, "agent "+k.name)
		}
	}
	for _, vm := range f.VMs {
		if vm.Local == nil {
			out = append(out, "control VM at "+vm.Address)
		}
	}
	slices.Sort(out)
	return out
}

// Prepared returns the revision that first carried the prepared generation of
// the cluster keys; false where none is prepared.
func (f *Fleet) Prepared() (table.Revision, bool) {
	if f.View == nil {
		return 0, false
	}
	for _, k := range f.View.Keys {
		if k.State == statePrepared {
			return k.PreparedAt, true
		}
	}
	return 0, false
}

// Lagging returns the live balancers that haven't acknowledged the revision.
func (f *Fleet) Lagging(revision table.Revision) []BalancerStatus {
	var out []BalancerStatus
	for _, b := range f.Balancers {
		if b.State != stateOut && (!b.Heard || b.Revision < revision) {
			out = append(out, b)
		}
	}
	return out
}

// Live counts the balancers that control takes to be alive.
func (f *Fleet) Live() int {
	n := 0
	for _, b := range f.Balancers {
		if b.State != stateOut {
			n++
		}
	}
	return n
}

// ErrLagging is returned where balancers haven't acknowledged a revision in time.
var ErrLagging = errors.New("operator: not in force on every balancer yet")

// waitStep is the pause between two looks at the fleet.
const waitStep = 50 * time.Millisecond

// WaitInForce returns once every live balancer has acknowledged the revision.
// When ctx ends first, it returns ErrLagging and the last look at the fleet.
func (c *Client) WaitInForce(ctx context.Context, revision table.Revision) (*Fleet, error) {
	last := &Fleet{NoQuorum: "not asked"}
	for {
		f := c.Fleet(ctx)
		if f.View != nil {
			last = f
			if len(f.Lagging(revision)) == 0 {
				return f, nil
			}
		}
		select {
		case <-ctx.Done():
			return last, ErrLagging
		case <-time.After(waitStep):
		}
	}
}
