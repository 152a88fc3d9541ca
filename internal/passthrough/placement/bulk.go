package placement

// ForBulk returns the policy for flows with large bodies or large responses. Another data
// centre's target takes them only once they would wait in their own for others to finish,
// and for a whole round of requests longer than there: each costs the link between the data
// centres many times what another flow does, and its callers allow for more time. Flows of
// other kinds are handed over before that and leave the room to bulk.
func (p Policy) ForBulk() Policy {
	p.SpillFrom, p.SpillGain = p.Saturated, p.OverflowGain
	return p
}
