package membership

// heldState is what a node has, or will have once the updates in transit arrive. Updates
// on a stream arrive in order.
type heldState struct {
	// Heartbeat is the last heartbeat, with the contents of updates in transit.
	Heartbeat
	// acknowledges is false for nodes of a build that doesn't set Heartbeat.Received.
	acknowledges bool
	// updates is the number of the last numbered update; table, list and evacuations are
	// the numbers of the last updates that held each.
	updates, table, list, evacuations uint64
}

// add records an update that is about to be sent, and numbers it.
func (h *heldState) add(u *Update) {
	if u.Table == nil && u.List == nil && u.Evacuated == nil {
		return
	}
	h.updates++
	u.Number = h.updates
	if u.Table != nil {
		h.table = u.Number
		h.Version = u.Version
	}
	if u.List != nil {
		h.list = u.Number
		h.Epoch, h.Number = u.List.Epoch, u.List.Number
	}
	if u.Evacuated != nil {
		h.evacuations = u.Number
		h.EvacuationRevision = u.Evacuated.Revision
	}
}

// merge records a heartbeat. Where it was written before an update arrived, the contents
// of that update are kept. A node that couldn't apply an update acknowledges it with its
// older state, and is sent the changes again.
func (h *heldState) merge(b Heartbeat) {
	if h.acknowledges {
		if b.Received < h.table {
			b.Version = max(b.Version, h.Version)
		}
		if b.Received < h.list {
			b.Epoch, b.Number = h.Epoch, h.Number
		}
		if b.Received < h.evacuations {
			b.EvacuationRevision = max(b.EvacuationRevision, h.EvacuationRevision)
		}
	}
	h.Heartbeat = b
}
