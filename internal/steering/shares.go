package steering

import (
	"slices"
	"time"

	"bergamotstall/internal/slowstart"
	"bergamotstall/internal/table"
)

// stepMS is how often shares that move are taken anew, in milliseconds. All
// processes take them at the same steps of the clock, so that they place a flow
// alike as far as their clocks agree. At six steps a preset shift moves a sixth
// of its flows at a time.
const stepMS = 500

func stepAt(now time.Time) int64 { return now.UnixMilli() / stepMS }

// setChoosers builds the choosers of the given services.
func (m *Map) setChoosers(of []*Service) {
	type group struct {
		active, live []Candidate
	}
	groups := make(map[table.ServiceID]*group, len(of))
	for _, s := range of {
		groups[s.ID] = new(group)
	}
	for _, x := range m.table.Targets {
		g := groups[x.Service]
		if g == nil || x.State == table.Retired {
			continue
		}
		g.live = append(g.live, Candidate{Agent: x.Agent, Share: 1})
		if x.State == table.Active {
			g.active = append(g.active, Candidate{Agent: x.Agent, Share: slowstart.Share(x, m.step*stepMS)})
		}
	}
	for _, s := range of {
		s.chooser = NewChooser(groups[s.ID].active)
		s.fallback = NewChooser(groups[s.ID].live)
	}
}

// Reshare returns the map with the shares of the given time, or the same map
// where none has moved. Only the choosers of services with a moving target are
// built anew.
func (m *Map) Reshare(now time.Time) *Map {
	step := stepAt(now)
	if step <= m.step {
		return m
	}
	moving := m.moving()
	if len(moving) == 0 {
		return m
	}
	out := *m
	out.step = step
	out.Services = slices.Clone(m.Services)
	out.services = make(map[table.ServiceID]*Service, len(m.services))
	var fresh []*Service
	for i, s := range out.Services {
		if moving[s.ID] {
			s = &Service{ID: s.ID, Name: s.Name, Address: s.Address, Limit: s.Limit}
			out.Services[i] = s
			fresh = append(fresh, s)
		}
		out.services[s.ID] = s
	}
	out.setChoosers(fresh)
	return &out
}

// moving returns the services with a target whose share wasn't at its end at the
// map's step.
func (m *Map) moving() map[table.ServiceID]bool {
	var out map[table.ServiceID]bool
	at := m.step * stepMS
	for i := range m.table.Targets {
		x := &m.table.Targets[i]
		if at-x.ChangedAtMS >= slowstart.ShiftMS && at-x.JoinedAtMS >= slowstart.SlowStartMS {
			continue
		}
		if out == nil {
			out = make(map[table.ServiceID]bool)
		}
		out[x.Service] = true
	}
	return out
}
