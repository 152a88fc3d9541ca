package membership

import (
	"context"
	"net"
	"time"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/passthrough/route"
)

// updateSender sends updates to one node.
type updateSender struct {
	server     *Server
	conn       *framing.Conn
	nodeRole   Role
	heartbeats chan Heartbeat
	held       heldState
	// confirmed means that the VM has had contact with a quorum since the stream began.
	confirmed bool
}

func newUpdateSender(s *Server, conn *framing.Conn, h Hello) *updateSender {
	return &updateSender{
		server: s, conn: conn, nodeRole: h.Node.Role, heartbeats: make(chan Heartbeat, 1),
		held: heldState{Heartbeat: h.Heartbeat, acknowledges: h.Acknowledges},
	}
}

// run sends updates until a write fails or ctx is done, and closes the connection.
func (p *updateSender) run(ctx context.Context, raw net.Conn) {
	defer raw.Close()
	confirmed := make(chan struct{})
	go p.server.confirm(ctx, confirmed)
	// A VM in contact with a quorum is confirmed within a round trip, so that its first
	// update contains the table. A balancer needs all VMs' lists, which need no quorum, and
	// doesn't wait.
	wait := pushInterval
	if p.nodeRole == Balancer {
		wait = 0
	}
	select {
	case <-confirmed:
		p.confirmed = true
		confirmed = nil
	case <-time.After(wait):
	case <-ctx.Done():
		return
	}
	for {
		var listChanged <-chan struct{} // nil for agents: they don't get the list
		if p.nodeRole == Balancer {
			listChanged = p.server.listChanged()
		}
		tableChanged := p.server.cfg.Store.Changed()
		if err := p.push(); err != nil {
			return
		}
		// Versions of a burst are combined; a heartbeat is answered at once.
		select {
		case <-time.After(pushInterval):
		case b := <-p.heartbeats:
			p.held.merge(b)
			continue
		case <-confirmed:
			p.confirmed = true
			confirmed = nil
			continue
		case <-ctx.Done():
			return
		}
		select {
		case b := <-p.heartbeats:
			p.held.merge(b)
		case <-confirmed:
			p.confirmed = true
			confirmed = nil
		case <-listChanged:
		case <-tableChanged:
		case <-ctx.Done():
			return
		}
	}
}

// push sends the node the changes that it doesn't have yet.
func (p *updateSender) push() error {
	u := Update{
		Confirmed: p.confirmed, Controls: p.server.cfg.Source.Controls(),
		ContactAgeMS: p.server.cfg.Source.ContactAge().Milliseconds(),
		ServingMS:    time.Since(p.server.servingSince).Milliseconds(),
	}
	if p.nodeRole == Balancer {
		u.List = p.server.listUpdate(p.held.Heartbeat)
	}
	if state := p.server.cfg.Store.Current(); state != nil && p.confirmed {
		u.Version = uint64(state.Definition.Version)
		if p.held.WantTables && u.Version > p.held.Version {
			update, err := state.Since(route.Version(p.held.Version))
			if err != nil {
				return err
			}
			u.Table = update
		}
	}
	if e := p.server.cfg.Store.Evacuations(); p.confirmed && e.Revision > p.held.EvacuationRevision {
		u.Evacuated = &EvacuatedZones{Revision: e.Revision, Zones: e.Evacuated()}
	}
	p.held.add(&u)
	_, err := p.conn.Write(kindUpdate, &u)
	return err
}
