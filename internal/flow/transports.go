package flow

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"bergamotstall/internal/connid"
	"bergamotstall/internal/events"
	"bergamotstall/internal/table"

	"github.com/sirupsen/logrus"
)

// generationSlots is how many key generations a connection ID can distinguish.
const generationSlots = 8

const quicKeySize = 32

// transport is a QUIC transport for the flows of one key generation. The reset and
// token keys of a QUIC transport can't change, so a key rotation opens another
// transport and open flows stay on the old one.
type transport struct {
	generation uint8
	keys       table.KeySet
	conn       *packetConn
	quic       *quic.Transport
	listener   *quic.Listener
	// flows is the number of open flows of this key generation.
	flows atomic.Int64
}

var (
	errRefused      = errors.New("flow: new flow refused: no agent can take it")
	errNoSigningKey = errors.New("flow: no key to encode connection IDs")
	errKeySize      = errors.New("flow: reset and token keys must have 32 bytes")
)

// openTransports opens a transport for each key set that has none. The transport of
// a generation that left the table stays until its slot is reused: packets no longer
// reach its flows, which end by their idle timeout.
func (e *Endpoint) openTransports(keys []table.KeySet) error {
	for _, k := range keys {
		slot := &e.transports[k.Generation%generationSlots]
		old := slot.Load()
		if old != nil && old.generation == k.Generation {
			continue
		}
		fresh, err := e.openTransport(k)
		if err != nil {
			return err
		}
		slot.Store(fresh)
		if old != nil {
			old.close()
		}
		e.servers.accept(fresh.listener)
		events.Log(e.config.Log, events.FlowKeysOpened, logrus.Fields{"generation": k.Generation})
	}
	return nil
}

func (e *Endpoint) openTransport(k table.KeySet) (*transport, error) {
	if len(k.Reset) != quicKeySize || len(k.Token) != quicKeySize {
		return nil, errors.Wrapf(ErrTable, "generation %d: %v", k.Generation, errKeySize)
	}
	t := &transport{generation: k.Generation, keys: k, conn: newPacketConn(e)}
	ring, err := connid.NewKeyRing([]table.KeySet{k})
	if err != nil {
		return nil, errors.Wrapf(ErrTable, "%v", err)
	}
	reset, token := quic.StatelessResetKey(k.Reset), quic.TokenGeneratorKey(k.Token)
	t.quic = &quic.Transport{
		Conn:                  t.conn,
		ConnectionIDGenerator: &idGenerator{endpoint: e, ring: ring, generation: k.Generation},
		StatelessResetKey:     &reset,
		VerifySourceAddress:   e.requireAddressValidation,
		TokenGeneratorKey:     &token,
		ConnContext: func(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
			return e.admit(ctx, info, t)
		},
	}
	t.listener, err = t.quic.Listen(e.tlsConfig(), quicConfig(e.config.IdleTimeout))
	if err != nil {
		return nil, errors.Wrapf(ErrTable, "generation %d: %v", k.Generation, err)
	}
	return t, nil
}

func (t *transport) close() {
	_ = t.quic.Close()
}

func (e *Endpoint) closeTransports() {
	for i := range e.transports {
		if t := e.transports[i].Load(); t != nil {
			t.close()
		}
	}
}

func (e *Endpoint) tlsConfig() *tls.Config {
	return http3.ConfigureTLSConfig(e.config.TLS)
}

func quicConfig(idle time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeIdleTimeout,
		MaxIdleTimeout:       idle,
		KeepAlivePeriod:      idle / keepAlivesPerIdleTimeout,
		InitialPacketSize:    initialPacketSize,
		// Packets travel in envelopes, so QUIC's probes can't find the path MTU.
		DisablePathMTUDiscovery: true,
		// A replayed 0-RTT request would be executed twice.
		Allow0RTT: false,
	}
}

// admit is called by the transports for each new flow. It counts the flow until it
// ends, and refuses a flow for which the router returned Refuse.
func (e *Endpoint) admit(ctx context.Context, info *quic.ClientInfo, t *transport) (context.Context, error) {
	if caller, ok := info.RemoteAddr.(*net.UDPAddr); ok {
		path := e.paths.find(caller.AddrPort())
		if path != nil && path.refuseNewFlow.Load() {
			e.counters.refused.Add(1)
			return nil, errRefused
		}
	}
	e.flows.Add(1)
	t.flows.Add(1)
	e.counters.opened.Add(1)
	h := &handshake{endpoint: e}
	e.handshakes.Add(1)
	context.AfterFunc(ctx, func() {
		h.done()
		e.flows.Add(-1)
		t.flows.Add(-1)
	})
	return context.WithValue(ctx, handshakeKey{}, h), nil
}

// requireAddressValidation reports whether a new flow's caller must validate its
// address.
func (e *Endpoint) requireAddressValidation(net.Addr) bool {
	if e.handshakes.Load() < addressValidationThreshold {
		return false
	}
	e.counters.addressValidations.Add(1)
	return true
}

// handshake counts one pending handshake until it completes or fails.
type handshake struct {
	endpoint *Endpoint
	once     sync.Once
}

type handshakeKey struct{}

func (h *handshake) done() {
	h.once.Do(func() { h.endpoint.handshakes.Add(-1) })
}

// flowsWithOldKeys returns the number of open flows whose connection IDs use another
// key generation than those of new flows. Retiring that generation while an agent
// has such flows would break them, as their IDs could no longer be decoded.
func (e *Endpoint) flowsWithOldKeys() (count int64) {
	signing := uint8(e.signingGeneration.Load())
	for i := range e.transports {
		if t := e.transports[i].Load(); t != nil && t.generation != signing {
			count += t.flows.Load()
		}
	}
	return count
}

// idGenerator generates the connection IDs of one transport.
type idGenerator struct {
	endpoint   *Endpoint
	ring       *connid.KeyRing
	generation uint8
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	var e connid.Entropy
	var raw [9]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return quic.ConnectionID{}, errors.Wrap(err, "flow: read random bytes for a connection ID")
	}
	e.First = raw[0]
	copy(e.Block[:], raw[1:])
	id, ok := g.ring.Encode(g.generation, table.AgentNumber(g.endpoint.agentNumber.Load()), e)
	if !ok {
		return quic.ConnectionID{}, errNoSigningKey
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int { return connid.Size }
