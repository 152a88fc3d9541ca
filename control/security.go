package control

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/sirupsen/logrus"

	"bergamotstall/internal/keys"
	"bergamotstall/internal/metrics"
)

// dialFunc opens a connection to another control VM.
type dialFunc func(ctx context.Context, address string) (net.Conn, error)

// security holds the TLS configurations of a control VM's connections; all are nil without
// TLS.
type security struct {
	store *keys.Store
	// replicas is for connections from other control VMs; dial opens connections to them.
	replicas *tls.Config
	dial     dialFunc
	// subscribers admits balancers and agents.
	subscribers *tls.Config
	// operators admits any role. The operators' server checks the role, because it can
	// reply with the reason and a refused handshake can't.
	operators *tls.Config
}

// certificateReloadInterval is how often the certificate files are checked for changes.
const certificateReloadInterval = 30 * time.Second

func newSecurity(s keys.Settings, log logrus.FieldLogger, m *metrics.Set) (security, error) {
	if s.Absent() {
		return security{}, nil
	}
	store, err := keys.Load(s.Files(), log, m)
	if err != nil {
		return security{}, errors.Wrap(err, "control: load TLS files")
	}
	if self := store.Self(); self.Role != keys.Control {
		return security{}, errors.Errorf("control: TLS: the certificate's role is %s, not control", self.Role)
	}
	client := store.Client(keys.Control)
	return security{
		store:       store,
		replicas:    store.Server(keys.Control),
		dial:        func(ctx context.Context, address string) (net.Conn, error) { return dialSecured(ctx, address, client) },
		subscribers: store.Server(keys.Balancer, keys.Agent),
		operators:   store.Server(keys.Roles()...),
	}, nil
}

// dialSecured connects to another control VM over TLS and checks that its certificate
// belongs to a control VM at that address.
func dialSecured(ctx context.Context, address string, cfg *tls.Config) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "control: parse peer's address")
	}
	raw, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "control: dial peer")
	}
	secured, err := keys.Client(ctx, raw, cfg, host)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	return secured, nil
}
