package membership

import (
	"hash/maphash"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/passthrough/route"
)

// beat says where the node stands, and whether it takes tables from this VM.
func (c *Client) beat(s *clientStream) Beat {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chooseWanted(time.Now())
	if c.wanted == "" {
		// The first VM to be reached is asked for the first table, others if they
		// are sooner in touch with a quorum.
		c.wanted = s.ip
		c.wantedAt = time.Now()
	}
	return Beat{Version: uint64(c.version), Want: c.wanted == s.ip, Epoch: s.view.epoch, Number: s.view.number, Evacuations: c.evacuations}
}

// chooseWanted keeps taking tables from one VM while it is in touch, so that they
// travel once: a whole table for each stream fills a balancer's link when it starts.
// The VM is left if another has had a newer version for longer than a table takes.
// Nodes start at different ones by a hash. The lock is held.
func (c *Client) chooseWanted(now time.Time) {
	held := c.streams[c.wanted]
	late := c.ahead(now) && now.Sub(c.wantedAt) > aheadPatience
	if held != nil && held.current() && !late {
		return
	}
	if held != nil && held.conn != nil && c.version == 0 && now.Sub(c.wantedAt) < aheadPatience {
		return // the first table may be on its way
	}
	best := uint64(0)
	wanted := ""
	for ip, s := range c.streams {
		if !s.current() || s.version == 0 || late && (s == held || s.version <= c.version) {
			continue
		}
		if h := maphash.String(wantSeed, ip); h >= best {
			best = h
			wanted = ip
		}
	}
	if wanted != "" {
		c.wanted = wanted
		c.wantedAt = now
	}
}

// ahead tells whether any VM has had a newer version for a while; the lock is held.
func (c *Client) ahead(now time.Time) bool {
	for _, s := range c.streams {
		if s.current() && s.version > c.version && now.Sub(s.aheadAt) > aheadPatience {
			return true
		}
	}
	return false
}

var wantSeed = maphash.MakeSeed()

func (s *clientStream) current() bool {
	return time.Since(s.heardAt) < beatPatience && s.contactAge < contactBound
}

// take puts an update in force.
func (c *Client) take(s *clientStream, u Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[s.ip] = s
	s.heardAt = time.Now()
	s.contactAge = time.Duration(u.ContactAgeMS) * time.Millisecond
	if len(u.Controls) > 0 {
		c.known = u.Controls
	}
	if version := route.Version(u.Version); version > s.version {
		s.version = version
		s.aheadAt = s.heardAt
	}
	if u.List != nil {
		c.takeListing(s, u.List)
	}
	// First, so that a node whose first table this is places nothing in between.
	if u.Evacuated != nil {
		c.takeEvacuated(u.Evacuated)
	}
	if u.Lean != nil {
		c.takeTable(s, u)
	}
	wanted := c.wanted
	if c.chooseWanted(s.heardAt); c.wanted != wanted {
		c.streams[c.wanted].beatNow()
	}
}

// takeTable puts a table in force if it is newer; the lock is held.
func (c *Client) takeTable(s *clientStream, u Update) {
	if route.Version(u.Version) <= c.version {
		return
	}
	var lean route.TableUpdate
	if _, err := lean.UnmarshalMsg(u.Lean); err != nil {
		c.cfg.Log.WithError(err).Error("membership: table can't be read")
		return
	}
	table, err := lean.Table(c.table)
	if err != nil {
		// Another VM's table came in between; the beat says which version is held.
		c.cfg.Log.WithError(err).Debug("membership: table doesn't fit")
		s.beatNow()
		return
	}
	c.table = table
	c.version = table.Version
	c.wantedAt = s.heardAt
	c.cfg.Table(table)
	events.Log(c.cfg.Log, events.PassTableInForce, logrus.Fields{
		"version": u.Version, "routes": table.Len(), "from": uint64(lean.From), "changes": len(lean.Routes) + len(lean.Removed), "bytes": len(u.Lean),
	})
}

// takeEvacuated puts evacuations in force if they are newer; the lock is held.
func (c *Client) takeEvacuated(e *Evacuated) {
	if e.Revision <= c.evacuations {
		return
	}
	c.evacuations = e.Revision
	c.cfg.Evacuated(e.Zones)
	events.Log(c.cfg.Log, events.EvacuationsInForce, logrus.Fields{"revision": e.Revision, "zones": e.Zones})
}
