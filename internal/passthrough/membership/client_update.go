package membership

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/framing"
	"bergamotstall/internal/passthrough/route"
)

// heartbeat is heartbeatLocked for callers that don't hold the lock.
func (c *Client) heartbeat(s *clientStream) Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heartbeatLocked(s)
}

// heartbeatLocked returns the node's state for a control VM, and whether the VM is to send
// tables. The lock is held.
func (c *Client) heartbeatLocked(s *clientStream) Heartbeat {
	c.chooseTableSource(time.Now(), nil)
	if c.tableSource == "" {
		// The first VM that is reached is asked for the first table; another replaces it
		// if it has contact with a quorum sooner.
		c.tableSource = s.ip
		c.tableSourceAt = time.Now()
	}
	return Heartbeat{
		Version: uint64(c.version), WantTables: c.tableSource == s.ip, Epoch: s.view.epoch, Number: s.view.number,
		EvacuationRevision: c.evacuations, Received: s.received,
	}
}

// chooseTableSource keeps requesting tables from one VM while the VM has contact with a
// quorum, so that each table is transferred once: a full table over every stream
// saturates a balancer's link when it starts. The node switches if another VM has had a
// newer version for longer than tableTimeout and no update of the source is arriving. A
// seeded hash spreads the nodes over the VMs. handled is the stream whose update has just
// been applied, nil for none. The lock is held.
func (c *Client) chooseTableSource(now time.Time, handled *clientStream) {
	source := c.streams[c.tableSource]
	late := c.behind(now) && now.Sub(c.tableSourceAt) > tableTimeout
	if source != nil && c.keepsTableSource(source, handled, now, late) {
		return
	}
	best := uint64(0)
	chosen := ""
	for ip, s := range c.streams {
		if !s.current() || s.version == 0 || late && (s == source || s.version <= c.version) {
			continue
		}
		if h := maphash.String(tableSourceSeed, ip); h >= best {
			best = h
			chosen = ip
		}
	}
	if chosen != "" {
		c.tableSource = chosen
		c.tableSourceAt = now
	}
}

// keepsTableSource reports whether tables are still requested from the source. late means
// that another VM has had a newer version for longer than tableTimeout. The lock is held.
func (c *Client) keepsTableSource(source, handled *clientStream, now time.Time, late bool) bool {
	switch {
	case source != handled && source.receiving():
		return true // the table may be in the update that is arriving
	case source.current():
		return !late
	case !source.open || c.version != 0:
		return false
	case !source.answered:
		return !late
	default: // without a quorum yet
		return now.Sub(c.tableSourceAt) < tableTimeout
	}
}

// behind reports whether any VM has had a newer version for more than tableTimeout; the
// lock is held.
func (c *Client) behind(now time.Time) bool {
	for _, s := range c.streams {
		if s.current() && s.version > c.version && now.Sub(s.versionAt) > tableTimeout {
			return true
		}
	}
	return false
}

var tableSourceSeed = maphash.MakeSeed()

func (s *clientStream) current() bool {
	return time.Since(s.heardAt) < streamTimeout && s.contactAge < maxContactAge
}

// receiving reports whether an update is arriving and hasn't paused for tableTimeout.
func (s *clientStream) receiving() bool {
	return s.conn != nil && s.conn.Receiving(tableTimeout)
}

// applyUpdate applies an update.
func (c *Client) applyUpdate(s *clientStream, u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[s.ip] = s
	s.heardAt = time.Now()
	s.answered = true
	s.received = max(s.received, u.Number)
	s.contactAge = time.Duration(u.ContactAgeMS) * time.Millisecond
	if len(u.Controls) > 0 && !slices.Equal(u.Controls, c.knownControls) {
		c.knownControls = u.Controls
		c.chooseSoon()
	}
	if version := route.Version(u.Version); version > s.version {
		s.version = version
		s.versionAt = s.heardAt
	}
	if u.List != nil {
		c.applyList(s, u.List)
	}
	serving := time.Duration(u.ServingMS) * time.Millisecond
	c.noteContact(s.ip, func(x *listSource) { x.heard(s.heardAt, serving) })
	// Evacuations are applied before the table, so that a node that gets its first table
	// doesn't place flows in an evacuated data centre.
	if u.Evacuated != nil {
		c.applyEvacuations(u.Evacuated)
	}
	if u.Table != nil {
		c.applyTable(s, u)
	}
	previous := c.tableSource
	if c.chooseTableSource(s.heardAt, s); c.tableSource != previous {
		c.streams[c.tableSource].heartbeatNow()
	}
}

// applyTable puts a table in force if it is newer; the lock is held.
func (c *Client) applyTable(s *clientStream, u Update) {
	if route.Version(u.Version) <= c.version {
		return
	}
	var update route.TableUpdate
	if err := framing.Decode(u.Table, &update); err != nil {
		c.cfg.Log.WithError(err).Error("membership: malformed table update ignored")
		return
	}
	table, err := update.Table(c.table)
	if err != nil {
		// A table of another VM arrived in between; the heartbeat names the version held.
		c.cfg.Log.WithError(err).Debug("membership: table update is for another version; requesting it again")
		s.heartbeatNow()
		return
	}
	c.table = table
	c.version = table.Version
	c.tableSourceAt = s.heardAt
	c.cfg.OnTable(table)
	events.Log(c.cfg.Log, events.PassTableInForce, logrus.Fields{
		"version": u.Version, "routes": table.Len(), "from": uint64(update.From), "changes": len(update.Routes) + len(update.Removed), "bytes": len(u.Table),
	})
}

// applyEvacuations puts evacuations in force if they are newer; the lock is held.
func (c *Client) applyEvacuations(e *EvacuatedZones) {
	if e.Revision <= c.evacuations {
		return
	}
	c.evacuations = e.Revision
	c.cfg.OnEvacuations(e.Zones)
	events.Log(c.cfg.Log, events.EvacuationsInForce, logrus.Fields{"revision": e.Revision, "zones": e.Zones})
}
