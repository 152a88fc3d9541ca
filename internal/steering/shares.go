package steering

import (
	"slices"
	"time"

	"bergamotstall/internal/slowstart"
	"bergamotstall/internal/table"
)

// stepMS is the interval at which changing shares are recomputed, in milliseconds. All
// processes use the same steps of the wall clock, so that they place a flow alike as far
// as their clocks agree. A change of preset takes six steps, each of which moves a sixth
// of its flows.
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

// Reshare returns the map with the shares at the given time, or the same map if none has
// changed. Only the choosers of services with a changing share are rebuilt.
func (m *Map) Reshare(now time.Time) *Map {
	step := stepAt(now)
	if step <= m.step {
		return m
	}
	changing := m.changingServices()
	if len(changing) == 0 {
		return m
	}
	out := *m
	out.step = step
	out.Services = slices.Clone(m.Services)
	out.services = make(map[table.ServiceID]*Service, len(m.services))
	var rebuilt []*Service
	for i, s := range out.Services {
		if changing[s.ID] {
			s = &Service{ID: s.ID, Name: s.Name, Address: s.Address, Limit: s.Limit}
			out.Services[i] = s
			rebuilt = append(rebuilt, s)
		}
		out.services[s.ID] = s
	}
	out.setChoosers(rebuilt)
	return &out
}

// changingServices returns the services with a target whose share was still changing at
// the map's step.
func (m *Map) changingServices() map[table.ServiceID]bool {
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
