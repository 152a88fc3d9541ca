package membership

import (
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// A balancer may reset a flow that no agent holds only if it knows every agent, that is
// the lists of all control VMs that any agent may be attached to. It can't count agents,
// because no VM knows how many there are. It knows of every VM whether it lists agents,
// refuses connections or is silent, and since when, and how long an agent takes to be
// listed by another VM in each case.

const (
	// listDelay is how long an agent that has lost its control VM takes to be listed by
	// another one, with the next update of that VM's list.
	listDelay = pushInterval + 50*time.Millisecond
	// returnDelay is how long agents may take to attach to a VM that has just started: the
	// longest pause between two attempts, and the update of the VM's list.
	returnDelay = redialDelay*3/2 + listDelay
	// departureDelay is how long an agent may take to leave a VM that is silent.
	departureDelay = streamTimeout + listDelay
	// silenceLimit is the time without updates after which a VM that listed agents counts
	// as silent: two heartbeats are unanswered.
	silenceLimit = 2*HeartbeatInterval + listDelay
)

// contact is what a balancer knows of a control VM.
type contact uint8

const (
	// silent VMs neither answer nor refuse; a VM that wasn't tried yet is one of them.
	silent contact = iota
	// refusing VMs refuse connections: they have no streams to any node.
	refusing
	// listing VMs have sent their list on the stream that is open.
	listing
)

// listSource is a balancer's contact to one control VM.
type listSource struct {
	contact contact
	// since is when the contact became what it is.
	since time.Time
	// heardAt is when the last update arrived, refusedAt when a connection was last
	// refused.
	heardAt, refusedAt time.Time
	// servingSince is when the VM's process began to serve streams, as far as known.
	servingSince time.Time
}

func newListSource(now time.Time) *listSource { return &listSource{since: now} }

func (s *listSource) setContact(now time.Time, c contact) {
	if s.contact != c {
		s.contact = c
		s.since = now
	}
}

// heard records an update of a VM that has been serving for the given time. Builds that
// don't state it send 0.
func (s *listSource) heard(now time.Time, serving time.Duration) {
	started := now.Add(-serving)
	if s.contact != listing || started.Before(s.servingSince) {
		s.servingSince = started
	}
	s.setContact(now, listing)
	s.heardAt = now
}

// dialFailed records a failed attempt to connect.
func (s *listSource) dialFailed(now time.Time, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		s.setContact(now, silent)
		return
	}
	s.setContact(now, refusing)
	s.refusedAt = now
}

// ended records the end of a stream. The next attempt to connect tells why it ended.
func (s *listSource) ended(now time.Time) { s.setContact(now, silent) }

// contactAt returns the contact at the given time and since when it is so.
func (s *listSource) contactAt(now time.Time) (contact, time.Time) {
	if s.contact == listing && now.Sub(s.heardAt) > silenceLimit {
		return silent, s.heardAt
	}
	return s.contact, s.since
}

// listsComplete reports whether every agent is on a list that has arrived. sources are the
// VMs that the balancer keeps streams to, members the control VMs named in updates.
func listsComplete(now time.Time, sources map[string]*listSource, members []string) bool {
	silentMembers := 0
	for _, ip := range members {
		s := sources[ip]
		if s == nil {
			return false
		}
		if c, _ := s.contactAt(now); c == silent {
			silentMembers++
		}
	}
	// An agent may stay at VMs that are cut off from this balancer only. With fewer of
	// them than an agent has streams, another VM lists it too.
	if silentMembers >= agentStreamCount {
		return false
	}
	newestList, anySilent := listsAndSilence(now, sources)
	for _, s := range sources {
		if !s.settled(now, anySilent, newestList) {
			return false
		}
	}
	return !newestList.IsZero()
}

// listsAndSilence returns when the newest first list of a stream came, the zero time if
// none has, and whether any VM is silent.
func listsAndSilence(now time.Time, sources map[string]*listSource) (newestList time.Time, anySilent bool) {
	for _, s := range sources {
		c, since := s.contactAt(now)
		anySilent = anySilent || c == silent
		if c == listing && since.After(newestList) {
			newestList = since
		}
	}
	return newestList, anySilent
}

// settled reports whether the agents that were attached to the VM are on the lists that
// have arrived, the newest at newestList. anySilent means that some VM is silent: an agent
// that hears one VM waits for as long as that may be silent before it replaces another.
func (s *listSource) settled(now time.Time, anySilent bool, newestList time.Time) bool {
	c, since := s.contactAt(now)
	switch c {
	case listing:
		return now.Sub(since) >= listDelay && now.Sub(s.servingSince) >= returnDelay
	case refusing:
		delay := listDelay
		if anySilent {
			delay = departureDelay
		}
		// The VM may have started since it refused, and have taken agents from a VM whose
		// list came later.
		return now.Sub(since) >= delay && s.refusedAt.After(newestList)
	default:
		return now.Sub(since) >= departureDelay
	}
}

// ListsComplete reports whether a balancer knows every agent: a flow that all agents lack
// is gone then. It is false for a moment after the start, and whenever the contact to a
// control VM has changed.
func (c *Client) ListsComplete(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return listsComplete(now, c.sources, c.knownControls)
}

// noteContact changes what is known of a control VM; the lock is held.
func (c *Client) noteContact(ip string, note func(s *listSource)) {
	if s := c.sources[ip]; s != nil {
		note(s)
	}
}
