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

// generations is how many key generations a connection ID can tell apart.
const generations = 8

const quicKeySize = 32

// end is one QUIC transport, for the flows of one key generation. A transport
// keeps its reset and token keys for life, so that a rotation opens another one
// and leaves the open flows where they are.
type end struct {
	generation uint8
	keys       table.KeySet
	port       *port
	transport  *quic.Transport
	listener   *quic.Listener
	// flows are those open under this key generation.
	flows atomic.Int64
}

var (
	errRefused = errors.New("flow: new flow refused")
	errNoKey   = errors.New("flow: no key for connection IDs")
	errKeySize = errors.New("flow: reset and token keys must have 32 bytes")
)

// openEnds opens a transport for each key set that has none. A generation that
// left the table keeps its transport until the number comes round again: its
// flows no longer reach it, and end by their idle timeout.
func (e *Endpoint) openEnds(keys []table.KeySet) error {
	for _, k := range keys {
		slot := &e.ends[k.Generation%generations]
		old := slot.Load()
		if old != nil && old.generation == k.Generation {
			continue
		}
		fresh, err := e.openEnd(k)
		if err != nil {
			return err
		}
		slot.Store(fresh)
		if old != nil {
			old.close()
		}
		e.serving.accept(fresh.listener)
		events.Log(e.config.Log, events.FlowKeysOpened, logrus.Fields{"generation": k.Generation})
	}
	return nil
}

func (e *Endpoint) openEnd(k table.KeySet) (*end, error) {
	if len(k.Reset) != quicKeySize || len(k.Token) != quicKeySize {
		return nil, errors.Wrapf(ErrTable, "generation %d: %v", k.Generation, errKeySize)
	}
	x := &end{generation: k.Generation, keys: k, port: newPort(e)}
	ring, err := connid.NewRing([]table.KeySet{k})
	if err != nil {
		return nil, errors.Wrapf(ErrTable, "%v", err)
	}
	reset, token := quic.StatelessResetKey(k.Reset), quic.TokenGeneratorKey(k.Token)
	x.transport = &quic.Transport{
		Conn:                  x.port,
		ConnectionIDGenerator: &idGenerator{endpoint: e, ring: ring, generation: k.Generation},
		StatelessResetKey:     &reset,
		VerifySourceAddress:   e.mustProve,
		TokenGeneratorKey:     &token,
		ConnContext: func(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
			return e.admit(ctx, info, x)
		},
	}
	x.listener, err = x.transport.Listen(e.tlsConfig(), quicConfig(e.config.IdleTimeout))
	if err != nil {
		return nil, errors.Wrapf(ErrTable, "generation %d: %v", k.Generation, err)
	}
	return x, nil
}

func (x *end) close() {
	_ = x.transport.Close()
}

func (e *Endpoint) closeEnds() {
	for i := range e.ends {
		if x := e.ends[i].Load(); x != nil {
			x.close()
		}
	}
}

func (e *Endpoint) tlsConfig() *tls.Config {
	return http3.ConfigureTLSConfig(e.config.TLS)
}

func quicConfig(idle time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: handshakeIdle,
		MaxIdleTimeout:       idle,
		KeepAlivePeriod:      idle / keepAlives,
		InitialPacketSize:    packetSize,
		// The envelope hides the path's limit from QUIC's probes.
		DisablePathMTUDiscovery: true,
		// A replayed first flight would run a submission twice.
		Allow0RTT: false,
	}
}

// admit is called by the transports for each new flow. It counts the flow for
// as long as it lives, and refuses those that the deflector found no place for.
func (e *Endpoint) admit(ctx context.Context, info *quic.ClientInfo, x *end) (context.Context, error) {
	if caller, ok := info.RemoteAddr.(*net.UDPAddr); ok {
		way := e.paths.find(caller.AddrPort())
		if way != nil && way.refused.Load() {
			e.counts.refused.Add(1)
			return nil, errRefused
		}
	}
	e.flows.Add(1)
	x.flows.Add(1)
	e.counts.opened.Add(1)
	shake := &handshake{endpoint: e}
	e.handshakes.Add(1)
	context.AfterFunc(ctx, func() {
		shake.over()
		e.flows.Add(-1)
		x.flows.Add(-1)
	})
	return context.WithValue(ctx, handshakeKey{}, shake), nil
}

// mustProve tells whether a new flow's caller has to prove its address.
func (e *Endpoint) mustProve(net.Addr) bool {
	if e.handshakes.Load() < provenAbove {
		return false
	}
	e.counts.retried.Add(1)
	return true
}

// handshake is a flow's, counted until it is done or has failed.
type handshake struct {
	endpoint *Endpoint
	once     sync.Once
}

type handshakeKey struct{}

func (h *handshake) over() {
	h.once.Do(func() { h.endpoint.handshakes.Add(-1) })
}

// flowsUnderOldKeys returns the open flows whose connection IDs are under another
// key generation than new ones. While any agent has some, retiring that
// generation would break them: nobody could read their IDs any more.
func (e *Endpoint) flowsUnderOldKeys() (count int64) {
	signing := uint8(e.signing.Load())
	for i := range e.ends {
		if x := e.ends[i].Load(); x != nil && x.generation != signing {
			count += x.flows.Load()
		}
	}
	return count
}

// idGenerator makes the connection IDs of one transport.
type idGenerator struct {
	endpoint   *Endpoint
	ring       *connid.Ring
	generation uint8
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	var e connid.Entropy
	var raw [9]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return quic.ConnectionID{}, errors.Wrap(err, "flow: entropy")
	}
	e.First = raw[0]
	copy(e.Block[:], raw[1:])
	id, ok := g.ring.Encode(g.generation, table.AgentNumber(g.endpoint.self.Load()), e)
	if !ok {
		return quic.ConnectionID{}, errNoKey
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int { return connid.Size }
