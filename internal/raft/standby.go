package raft

import (
	"slices"
	"time"
)

// standbyTimeoutDivisor sets how long a voter must be silent before a standby replaces it:
// the election timeout divided by this. A replacement costs two entries and no data, so it
// needn't wait as long as an election.
const standbyTimeoutDivisor = 2

// stoppingElectionTimeouts is how long a member that gave up its vote can't get it back, in
// election timeouts. It has stopped by then, and its silence tells.
const stoppingElectionTimeouts = 2

// votersInZone counts the voters in a zone. A member of an unknown zone counts as the only
// one there.
func (m Membership) votersInZone(zone string) int {
	if zone == "" {
		return 1
	}
	n := 0
	for _, x := range m.Members {
		if x.Role == Voter && x.Zone == zone {
			n++
		}
	}
	return n
}

// silentVoter returns the voter that the leader hasn't heard from for longest, if for long
// enough that a standby may replace it.
func (c *Core) silentVoter() (Member, bool) {
	var found Member
	longest := c.standbyTimeout()
	for _, x := range c.members.Members {
		if x.Role == Voter && x.ID != c.cfg.ID && c.silence(x.ID) >= longest {
			found, longest = x, c.silence(x.ID)
		}
	}
	return found, found.ID != 0
}

func (c *Core) standbyTimeout() time.Duration {
	return c.cfg.ElectionTimeout / standbyTimeoutDivisor
}

// silence returns how long ago the leader last heard from another member.
func (c *Core) silence(id ID) time.Duration { return c.now - c.progress[id].heardAt }

// surplusVoter returns the voter that becomes a standby, if there are more than
// Config.Voters: one that is silent, or else the oldest one in the zone with most voters. A
// new VM thus takes over from an old one of its zone, which may then leave without a loss.
func (c *Core) surplusVoter() (Member, bool) {
	if c.cfg.Voters == 0 || len(c.members.Voters()) <= c.cfg.Voters {
		return Member{}, false
	}
	if x, ok := c.silentVoter(); ok {
		return x, true
	}
	var found Member
	most := 0
	for _, x := range c.members.Members {
		if n := c.members.votersInZone(x.Zone); x.Role == Voter && n > most {
			found, most = x, n
		}
	}
	return found, true
}

// neededStandby returns the standby that becomes a voter, if there are fewer than
// Config.Voters or if one of them is silent.
func (c *Core) neededStandby() (Member, bool) {
	if c.cfg.Voters == 0 {
		return Member{}, false
	}
	remaining := c.members
	if silent, ok := c.silentVoter(); ok {
		remaining, _ = remaining.withStandby(silent.ID)
	}
	if len(remaining.Voters()) >= c.cfg.Voters {
		return Member{}, false
	}
	return c.bestStandby(remaining)
}

// bestStandby returns a standby that can take over, from the zone with fewest of the
// remaining voters; of several, the newest.
func (c *Core) bestStandby(remaining Membership) (Member, bool) {
	var found Member
	fewest := 0
	for _, x := range c.members.Members {
		if x.Role != Standby || !c.canTakeOver(x.ID) {
			continue
		}
		if n := remaining.votersInZone(x.Zone); found.ID == 0 || n <= fewest {
			found, fewest = x, n
		}
	}
	return found, found.ID != 0
}

// canTakeOver reports whether a standby holds all committed entries and runs.
func (c *Core) canTakeOver(id ID) bool {
	if id == c.cfg.ID {
		return true // a standby that leads, see canCampaign
	}
	return c.caughtUp(id) && c.silence(id) < c.standbyTimeout() && c.now >= c.progress[id].stoppingUntil
}

// markStopping keeps a member from getting its vote back while it stops.
func (c *Core) markStopping(id ID) {
	if p := c.progress[id]; p != nil {
		p.stoppingUntil = c.now + stoppingElectionTimeouts*c.cfg.ElectionTimeout
	}
}

// ReplaceByStandby makes a standby a voter in place of one that is about to stop. The other
// one becomes a standby once that is committed.
func (c *Core) ReplaceByStandby(id ID) (Position, error) {
	if c.state != Leader {
		return Position{}, ErrNotLeader
	}
	if !c.members.isVoter(id) {
		return Position{}, ErrUnknownMember
	}
	if slices.ContainsFunc(c.members.Members, func(x Member) bool { return x.Replaces == id }) {
		return Position{}, ErrChangePending
	}
	remaining, err := c.members.withStandby(id)
	if err != nil {
		return Position{}, err
	}
	c.markStopping(id)
	standby, ok := c.bestStandby(remaining)
	if !ok {
		return Position{}, ErrNoStandby
	}
	next, err := c.members.withPromoted(standby.ID)
	if err != nil {
		return Position{}, err
	}
	for i := range next.Members {
		if next.Members[i].ID == standby.ID {
			next.Members[i].Replaces = id
		}
	}
	return c.changeMembers(next)
}
