package roster

import (
	"hash/maphash"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotstall/internal/events"
	"bergamotstall/internal/pass/route"
)

// beat says where the node stands, and whether it takes tables from this VM.
func (c *Client) beat(s *clientStream) Beat {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := Beat{Version: uint64(c.version), Epoch: s.view.epoch, Number: s.view.number}
	c.chooseWanted()
	ahead := s.version > c.version && time.Since(s.aheadAt) > aheadPatience
	b.Want = c.version == 0 || c.wanted == s.ip || ahead
	return b
}

// chooseWanted keeps taking tables from one VM while it is in touch, so that
// they travel once; the lock is held. Nodes start at different ones by a hash.
func (c *Client) chooseWanted() {
	if s := c.streams[c.wanted]; s != nil && s.current() {
		return
	}
	best := uint64(0)
	for ip, s := range c.streams {
		if !s.current() {
			continue
		}
		if h := maphash.String(wantSeed, ip); h >= best {
			best = h
			c.wanted = ip
		}
	}
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
	if u.Lean != nil {
		c.takeTable(u)
	}
}

// takeTable puts a table in force if it is newer; the lock is held.
func (c *Client) takeTable(u Update) {
	if route.Version(u.Version) <= c.version {
		return
	}
	d := new(route.Definition)
	if _, err := d.UnmarshalMsg(u.Lean); err != nil {
		c.cfg.Log.WithError(err).Error("roster: table can't be read")
		return
	}
	c.version = d.Version
	c.cfg.Table(route.NewTable(d))
	events.Log(c.cfg.Log, events.PassTableInForce, logrus.Fields{"version": u.Version, "routes": len(d.Routes)})
}
