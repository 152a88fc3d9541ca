package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// agentStreamCount is how many control VMs an agent keeps streams to, so that one VM
	// may be lost without a gap. With a stream to every VM, 12,000 agents exceed what one
	// VM can serve, and after a power failure the VMs would serve the whole fleet before
	// any node has a table.
	agentStreamCount = 2
	// attachTimeout is how long a VM may take to answer before another one is tried.
	attachTimeout = 500 * time.Millisecond
	// secondStreamDelay is how long after its start an agent attaches to a second VM.
	// Until then the VMs are free to serve every node once.
	secondStreamDelay = time.Second
)

// candidate is a control VM that a stream may be kept to.
type candidate struct {
	ip string
	// serving means that the VM lists the node: it has answered on the open stream, and was
	// heard within streamTimeout.
	serving bool
	// healthy means that the VM is serving or may soon be: the stream is so new that it may
	// still be connecting, or it has just ended and another VM is serving.
	healthy bool
}

func (c candidate) isServing() bool { return c.serving }
func (c candidate) isHealthy() bool { return c.healthy }

// rankControls orders control VMs for a node by rendezvous hashing. It spreads agents
// evenly over the VMs and leads them back to the VMs that hold their flow records.
func rankControls(node string, controls []string) []string {
	out := slices.Clone(controls)
	weight := func(ip string) uint64 { return xxhash.Sum64String(node + "|" + ip) }
	slices.SortFunc(out, func(a, b string) int {
		if c := cmp.Compare(weight(b), weight(a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return out
}

// chooseControls returns the VMs to keep streams to, out of candidates in order of
// preference: as many as are needed for the wanted number of VMs that count. Those before
// them that don't count stay included, so that they are retried.
func chooseControls(ordered []candidate, wanted int, counts func(candidate) bool) []string {
	var out []string
	n := 0
	for _, r := range ordered {
		if n == wanted {
			break
		}
		out = append(out, r.ip)
		if counts(r) {
			n++
		}
	}
	return out
}

// choose returns the VMs to start streams to, and those to keep streams to. started holds
// the streams that run. Balancers keep a stream to every VM, since they place flows by the
// union of the VMs' lists. An agent leaves a VM for a preferred one only once that lists it:
// a balancer that starts meanwhile would not know of the agent.
func (c *Client) choose(now time.Time, controls []string, started map[string]runningStream) (start, keep []string) {
	if c.cfg.Node.Role != Agent {
		return controls, controls
	}
	wanted := agentStreamCount
	if now.Sub(c.startedAt) < secondStreamDelay {
		wanted = 1
	}
	ordered := c.candidates(now, rankControls(c.cfg.Node.Address, controls), started)
	start = chooseControls(ordered, wanted, candidate.isHealthy)
	return start, append(chooseControls(ordered, wanted, candidate.isServing), start...)
}

// candidates returns the state of control VMs.
func (c *Client) candidates(now time.Time, controls []string, started map[string]runningStream) []candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	anyServing := false
	for _, s := range c.streams {
		anyServing = anyServing || s.serving(now)
	}
	var out []candidate
	for _, ip := range controls {
		kept, ok := started[ip]
		s := c.streams[ip]
		x := candidate{ip: ip, serving: s != nil && s.serving(now)}
		x.healthy = x.serving || !ok || now.Sub(kept.at) < attachTimeout || anyServing && s != nil && s.heardWithin(now, streamTimeout)
		out = append(out, x)
	}
	return out
}

// serving reports whether the VM lists the node.
func (s *clientStream) serving(now time.Time) bool {
	return s.open && s.answered && s.heardWithin(now, streamTimeout)
}

func (s *clientStream) heardWithin(now time.Time, d time.Duration) bool {
	return now.Sub(s.heardAt) < d
}
