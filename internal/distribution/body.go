package distribution

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"bergamotstall/internal/table"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/distribution/body.go -o ../internal/distribution/body_gen.go -tests=false -unexported

// errBody is returned for an update that can't be decoded.
var errBody = errors.New("distribution: malformed update")

const (
	// deflateOver is the size from which compression saves more than its header.
	deflateOver = 128
	// bodyLimit bounds a decompressed update: a table of 12,000 hosts takes under
	// 1 MB, and a peer must not be able to claim the whole memory budget.
	bodyLimit = 16 << 20
)

// body is an update as it travels. Targets are columns, because one column's
// values resemble each other and compress to about half of what rows do.
type body struct {
	Digest        uint64              `msg:"d"`
	Preset        string              `msg:"p"`
	Services      []table.Service     `msg:"s,omitempty"`
	Targets       *targetColumns      `msg:"t,omitempty"`
	Shifts        *shareColumns       `msg:"w,omitempty"`
	Balancers     []table.Balancer    `msg:"b,omitempty"`
	Keys          []table.KeySet      `msg:"k,omitempty"`
	Rekeyed       bool                `msg:"y,omitempty"`
	GoneServices  []table.ServiceID   `msg:"gs,omitempty"`
	GoneTargets   []table.AgentNumber `msg:"gt,omitempty"`
	GoneBalancers []string            `msg:"gb,omitempty"`
}

// shareColumns are what a shift carries. Numbers are varints; agents are gaps
// between ascending numbers, times are differences from the row before.
type shareColumns struct {
	Count    int    `msg:"n"`
	Agents   []byte `msg:"g"`
	Weights  []byte `msg:"w"`
	Previous []byte `msg:"v"`
	Changed  []byte `msg:"m"`
	States   []byte `msg:"x"`
}

// targetColumns are whole targets.
type targetColumns struct {
	Shares      shareColumns `msg:"w"`
	Services    []byte       `msg:"s"`
	Slots       []byte       `msg:"l"`
	Connections []byte       `msg:"c"`
	Joined      []byte       `msg:"j"`
	Hosts       string       `msg:"h"`
	DataCentres string       `msg:"d"`
	Tunnels     string       `msg:"t"`
	Peers       string       `msg:"p"`
}

// separator ends a text in a column; no name or address holds it.
const separator = "\n"

func sharesOf(targets []table.Target) shareColumns {
	c := shareColumns{Count: len(targets)}
	var agent table.AgentNumber
	var changed int64
	for _, t := range targets {
		c.Agents = binary.AppendUvarint(c.Agents, uint64(t.Agent-agent))
		c.Weights = binary.AppendUvarint(c.Weights, uint64(t.Weight))
		c.Previous = binary.AppendUvarint(c.Previous, uint64(t.PreviousWeight))
		c.Changed = binary.AppendVarint(c.Changed, t.ChangedAtMS-changed)
		c.States = append(c.States, byte(t.State))
		agent, changed = t.Agent, t.ChangedAtMS
	}
	return c
}

func columnsOf(targets []table.Target) targetColumns {
	c := targetColumns{Shares: sharesOf(targets)}
	var hosts, centres, tunnels, peers strings.Builder
	var joined int64
	for _, t := range targets {
		c.Services = binary.AppendUvarint(c.Services, uint64(t.Service))
		c.Slots = binary.AppendVarint(c.Slots, int64(t.Slots))
		c.Connections = binary.AppendVarint(c.Connections, int64(t.Connections))
		c.Joined = binary.AppendVarint(c.Joined, t.JoinedAtMS-joined)
		joined = t.JoinedAtMS
		writeText(&hosts, t.Host)
		writeText(&centres, t.DataCentre)
		writeText(&tunnels, t.Tunnel)
		writeText(&peers, suffixAfter(t.Tunnel, t.Peer))
	}
	c.Hosts, c.DataCentres = hosts.String(), centres.String()
	c.Tunnels, c.Peers = tunnels.String(), peers.String()
	return c
}

func writeText(b *strings.Builder, s string) {
	b.WriteString(s)
	b.WriteString(separator)
}

// sameIP stands for the tunnel's IP number in a peer's address: both are the
// same VM's, so the number would travel twice.
const sameIP = "="

func suffixAfter(tunnel, peer string) string {
	ip, _, ok := cutPort(tunnel)
	if !ok {
		return peer
	}
	if rest, same := strings.CutPrefix(peer, ip+":"); same {
		return sameIP + rest
	}
	return peer
}

func joinAfter(tunnel, suffix string) string {
	port, same := strings.CutPrefix(suffix, sameIP)
	if !same {
		return suffix
	}
	ip, _, _ := cutPort(tunnel)
	return ip + ":" + port
}

func cutPort(address string) (ip, port string, ok bool) {
	i := strings.LastIndexByte(address, ':')
	if i < 0 {
		return "", "", false
	}
	return address[:i], address[i+1:], true
}

// column reads numbers back; its first error sticks.
type column struct {
	rest   []byte
	failed *bool
}

func (c *column) unsigned() uint64 {
	v, n := binary.Uvarint(c.rest)
	if n <= 0 {
		*c.failed = true
		return 0
	}
	c.rest = c.rest[n:]
	return v
}

func (c *column) signed() int64 {
	v, n := binary.Varint(c.rest)
	if n <= 0 {
		*c.failed = true
		return 0
	}
	c.rest = c.rest[n:]
	return v
}

func (c *column) octet() byte {
	if len(c.rest) == 0 {
		*c.failed = true
		return 0
	}
	b := c.rest[0]
	c.rest = c.rest[1:]
	return b
}

func (c *shareColumns) targets() ([]table.Target, error) {
	// Each row takes a byte at least, so a forged count can't claim memory.
	if c.Count < 0 || c.Count > len(c.States) {
		return nil, errBody
	}
	var failed bool
	agents, weights := column{c.Agents, &failed}, column{c.Weights, &failed}
	previous, changed := column{c.Previous, &failed}, column{c.Changed, &failed}
	states := column{c.States, &failed}
	out := make([]table.Target, c.Count)
	var agent table.AgentNumber
	var at int64
	for i := range out {
		agent += table.AgentNumber(agents.unsigned())
		at += changed.signed()
		out[i] = table.Target{
			Agent:          agent,
			Weight:         uint32(weights.unsigned()),
			PreviousWeight: uint32(previous.unsigned()),
			ChangedAtMS:    at,
			State:          table.State(states.octet()),
		}
	}
	if failed {
		return nil, errBody
	}
	return out, nil
}

func (c *targetColumns) targets() ([]table.Target, error) {
	out, err := c.Shares.targets()
	if err != nil {
		return nil, err
	}
	hosts, centres := strings.Split(c.Hosts, separator), strings.Split(c.DataCentres, separator)
	tunnels, peers := strings.Split(c.Tunnels, separator), strings.Split(c.Peers, separator)
	if min(len(hosts), len(centres), len(tunnels), len(peers)) < len(out) {
		return nil, errBody
	}
	var failed bool
	services, slots := column{c.Services, &failed}, column{c.Slots, &failed}
	connections, joined := column{c.Connections, &failed}, column{c.Joined, &failed}
	names := map[string]string{}
	var at int64
	for i := range out {
		t := &out[i]
		at += joined.signed()
		t.Service = table.ServiceID(services.unsigned())
		t.Slots = int(slots.signed())
		t.Connections = int(connections.signed())
		t.JoinedAtMS = at
		t.Host = strings.Clone(hosts[i])
		t.DataCentre = intern(names, centres[i])
		t.Tunnel = strings.Clone(tunnels[i])
		t.Peer = joinAfter(tunnels[i], peers[i])
	}
	if failed {
		return nil, errBody
	}
	return out, nil
}

// intern keeps one copy of a text that thousands of targets share.
func intern(seen map[string]string, s string) string {
	if kept, ok := seen[s]; ok {
		return kept
	}
	s = strings.Clone(s)
	seen[s] = s
	return s
}

// bodyOf returns the update as it travels.
func bodyOf(u *update) *body {
	b := &body{
		Digest: u.Digest, Preset: u.Preset, Services: u.Services, Balancers: u.Balancers,
		Keys: u.Keys, Rekeyed: u.Rekeyed,
		GoneServices: u.GoneServices, GoneTargets: u.GoneTargets, GoneBalancers: u.GoneBalancers,
	}
	if len(u.Targets) > 0 {
		c := columnsOf(u.Targets)
		b.Targets = &c
	}
	if len(u.Shifts) > 0 {
		c := sharesOf(u.Shifts)
		b.Shifts = &c
	}
	return b
}

// encodeUpdate returns the update's bytes, compressed where that is shorter.
func encodeUpdate(u *update) (data []byte, deflated bool, err error) {
	raw, err := bodyOf(u).MarshalMsg(nil)
	if err != nil {
		return nil, false, errors.Wrap(err, "distribution: encode update")
	}
	if len(raw) < deflateOver {
		return raw, false, nil
	}
	packed, err := deflate(raw)
	if err != nil {
		return nil, false, err
	}
	if len(packed) >= len(raw) {
		return raw, false, nil
	}
	return packed, true, nil
}

func deflate(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "distribution: deflate")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "distribution: deflate")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "distribution: deflate")
	}
	return out.Bytes(), nil
}

// inflate bounds what a compressed update may grow to.
func inflate(data []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), bodyLimit+1))
	if err != nil {
		return nil, errors.Wrap(errBody, err.Error())
	}
	if len(raw) > bodyLimit {
		return nil, errors.Wrap(errBody, "too large when decompressed")
	}
	return raw, nil
}

// decodeUpdate is the reverse of encodeUpdate; revisions travel beside it.
func decodeUpdate(from, to table.Revision, data []byte, deflated bool) (*update, error) {
	raw := data
	if deflated {
		var err error
		if raw, err = inflate(data); err != nil {
			return nil, err
		}
	}
	var b body
	if _, err := b.UnmarshalMsg(raw); err != nil {
		return nil, errors.Wrap(errBody, err.Error())
	}
	u := &update{
		From: from, To: to, Digest: b.Digest, Preset: b.Preset, Services: b.Services, Balancers: b.Balancers,
		Keys: b.Keys, Rekeyed: b.Rekeyed,
		GoneServices: b.GoneServices, GoneTargets: b.GoneTargets, GoneBalancers: b.GoneBalancers,
	}
	var err error
	if b.Targets != nil {
		if u.Targets, err = b.Targets.targets(); err != nil {
			return nil, err
		}
	}
	if b.Shifts != nil {
		if u.Shifts, err = b.Shifts.targets(); err != nil {
			return nil, err
		}
	}
	return u, nil
}
