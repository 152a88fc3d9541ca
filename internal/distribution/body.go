package distribution

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"bergamotstall/internal/framing"
	"bergamotstall/internal/table"
)

//go:generate env GOWORK=off go -C ../../tools tool msgp -file ../internal/distribution/body.go -o ../internal/distribution/body_gen.go -tests=false -unexported

// errMalformedUpdate is returned for an update that can't be decoded.
var errMalformedUpdate = errors.New("distribution: malformed update")

const (
	// compressMinBytes is the size from which compression saves more than its header.
	compressMinBytes = 128
	// updateLimitBytes bounds a decompressed update, so that a peer can't use up the
	// memory budget. A table of 12,000 hosts takes less than 1 MB.
	updateLimitBytes = 16 << 20
)

// columnarUpdate is the wire format of an update. Targets are encoded as columns, as the
// values of one column resemble each other and compress to about half the size of rows.
type columnarUpdate struct {
	Digest           uint64              `msg:"d"`
	Preset           string              `msg:"p"`
	Services         []table.Service     `msg:"s,omitempty"`
	Targets          *targetColumns      `msg:"t,omitempty"`
	ShareChanges     *shareColumns       `msg:"w,omitempty"`
	Balancers        []table.Balancer    `msg:"b,omitempty"`
	Keys             []table.KeySet      `msg:"k,omitempty"`
	KeysReplaced     bool                `msg:"y,omitempty"`
	RemovedServices  []table.ServiceID   `msg:"gs,omitempty"`
	RemovedTargets   []table.AgentNumber `msg:"gt,omitempty"`
	RemovedBalancers []string            `msg:"gb,omitempty"`
}

// shareColumns hold the fields of a share change. Numbers are varints; agents are encoded
// as gaps between ascending numbers, times as differences from the previous row.
type shareColumns struct {
	Count    int    `msg:"n"`
	Agents   []byte `msg:"g"`
	Weights  []byte `msg:"w"`
	Previous []byte `msg:"v"`
	Changed  []byte `msg:"m"`
	States   []byte `msg:"x"`
}

// targetColumns hold complete targets.
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

// separator ends a text in a column. No name or address contains it.
const separator = "\n"

func shareColumnsOf(targets []table.Target) shareColumns {
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

func targetColumnsOf(targets []table.Target) targetColumns {
	c := targetColumns{Shares: shareColumnsOf(targets)}
	var hosts, centres, tunnels, peers strings.Builder
	var joined int64
	for _, t := range targets {
		c.Services = binary.AppendUvarint(c.Services, uint64(t.Service))
		c.Slots = binary.AppendVarint(c.Slots, int64(t.Slots))
		c.Connections = binary.AppendVarint(c.Connections, int64(t.Connections))
		c.Joined = binary.AppendVarint(c.Joined, t.JoinedAtMS-joined)
		joined = t.JoinedAtMS
		appendText(&hosts, t.Host)
		appendText(&centres, t.DataCentre)
		appendText(&tunnels, t.Tunnel)
		appendText(&peers, shortenPeer(t.Tunnel, t.Peer))
	}
	c.Hosts, c.DataCentres = hosts.String(), centres.String()
	c.Tunnels, c.Peers = tunnels.String(), peers.String()
	return c
}

func appendText(b *strings.Builder, s string) {
	b.WriteString(s)
	b.WriteString(separator)
}

// sameIPMark replaces the IP address in a peer address if it equals that of the tunnel.
// Both usually belong to the same VM.
const sameIPMark = "="

// shortenPeer returns an agent's peer address, with its IP address replaced by sameIPMark
// if it is that of the tunnel.
func shortenPeer(tunnel, peer string) string {
	ip, _, ok := cutPort(tunnel)
	if !ok {
		return peer
	}
	if rest, same := strings.CutPrefix(peer, ip+":"); same {
		return sameIPMark + rest
	}
	return peer
}

// expandPeer is the reverse of shortenPeer.
func expandPeer(tunnel, suffix string) string {
	port, same := strings.CutPrefix(suffix, sameIPMark)
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

// columnReader reads the values of a column. A failed read sets failed, which stays set.
type columnReader struct {
	rest   []byte
	failed *bool
}

func (c *columnReader) unsigned() uint64 {
	v, n := binary.Uvarint(c.rest)
	if n <= 0 {
		*c.failed = true
		return 0
	}
	c.rest = c.rest[n:]
	return v
}

func (c *columnReader) signed() int64 {
	v, n := binary.Varint(c.rest)
	if n <= 0 {
		*c.failed = true
		return 0
	}
	c.rest = c.rest[n:]
	return v
}

func (c *columnReader) octet() byte {
	if len(c.rest) == 0 {
		*c.failed = true
		return 0
	}
	b := c.rest[0]
	c.rest = c.rest[1:]
	return b
}

func (c *shareColumns) targets() ([]table.Target, error) {
	// States has one byte per row, so a forged count can't allocate memory.
	if c.Count < 0 || c.Count > len(c.States) {
		return nil, errMalformedUpdate
	}
	var failed bool
	agents, weights := columnReader{c.Agents, &failed}, columnReader{c.Weights, &failed}
	previous, changed := columnReader{c.Previous, &failed}, columnReader{c.Changed, &failed}
	states := columnReader{c.States, &failed}
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
		return nil, errMalformedUpdate
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
		return nil, errMalformedUpdate
	}
	var failed bool
	services, slots := columnReader{c.Services, &failed}, columnReader{c.Slots, &failed}
	connections, joined := columnReader{c.Connections, &failed}, columnReader{c.Joined, &failed}
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
		t.Peer = expandPeer(tunnels[i], peers[i])
	}
	if failed {
		return nil, errMalformedUpdate
	}
	return out, nil
}

// intern returns one shared copy of a text that thousands of targets may have.
func intern(seen map[string]string, s string) string {
	if kept, ok := seen[s]; ok {
		return kept
	}
	s = strings.Clone(s)
	seen[s] = s
	return s
}

// columnarUpdateOf converts an update to its wire format.
func columnarUpdateOf(u *update) *columnarUpdate {
	b := &columnarUpdate{
		Digest: u.Digest, Preset: u.Preset, Services: u.Services, Balancers: u.Balancers,
		Keys: u.Keys, KeysReplaced: u.KeysReplaced,
		RemovedServices: u.RemovedServices, RemovedTargets: u.RemovedTargets, RemovedBalancers: u.RemovedBalancers,
	}
	if len(u.Targets) > 0 {
		c := targetColumnsOf(u.Targets)
		b.Targets = &c
	}
	if len(u.ShareChanges) > 0 {
		c := shareColumnsOf(u.ShareChanges)
		b.ShareChanges = &c
	}
	return b
}

// encodeUpdate encodes an update, compressed if that is shorter.
func encodeUpdate(u *update) (data []byte, deflated bool, err error) {
	raw, err := columnarUpdateOf(u).MarshalMsg(nil)
	if err != nil {
		return nil, false, errors.Wrap(err, "distribution: encode update")
	}
	if len(raw) < compressMinBytes {
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

// inflate decompresses an update of at most updateLimitBytes.
func inflate(data []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), updateLimitBytes+1))
	if err != nil {
		return nil, errors.Wrap(errMalformedUpdate, err.Error())
	}
	if len(raw) > updateLimitBytes {
		return nil, errors.Wrap(errMalformedUpdate, "decompressed update is too large")
	}
	return raw, nil
}

// decodeUpdate decodes the result of encodeUpdate. The revisions are sent separately.
func decodeUpdate(from, to table.Revision, data []byte, deflated bool) (*update, error) {
	raw := data
	if deflated {
		var err error
		if raw, err = inflate(data); err != nil {
			return nil, err
		}
	}
	var b columnarUpdate
	if err := framing.Decode(raw, &b); err != nil {
		return nil, errors.Wrap(errMalformedUpdate, err.Error())
	}
	u := &update{
		From: from, To: to, Digest: b.Digest, Preset: b.Preset, Services: b.Services, Balancers: b.Balancers,
		Keys: b.Keys, KeysReplaced: b.KeysReplaced,
		RemovedServices: b.RemovedServices, RemovedTargets: b.RemovedTargets, RemovedBalancers: b.RemovedBalancers,
	}
	var err error
	if b.Targets != nil {
		if u.Targets, err = b.Targets.targets(); err != nil {
			return nil, err
		}
	}
	if b.ShareChanges != nil {
		if u.ShareChanges, err = b.ShareChanges.targets(); err != nil {
			return nil, err
		}
	}
	return u, nil
}
