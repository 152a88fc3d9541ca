package distribution

import (
	"crypto/tls"
	"net"

	"github.com/go-faster/errors"

	"bergamotstall/internal/keys"
)

// errIdentity is returned for a peer whose certificate is for another role or
// name than it says.
var errIdentity = errors.New("distribution: certificate is for another role or name")

// checkIdentity holds what a peer says against its certificate: one agent must
// not be able to announce itself as another, or as a balancer and receive every
// service's targets.
func checkIdentity(raw net.Conn, h hello) error {
	secured, ok := raw.(*tls.Conn)
	if !ok {
		return nil
	}
	peer, err := keys.PeerOf(secured.ConnectionState())
	if err != nil {
		return errors.Wrap(err, "distribution: identity")
	}
	if string(peer.Role) != h.Role.String() || peer.Name != h.Announcement.Name {
		return errors.Wrapf(errIdentity, "%s %s says it is %s %s", peer.Role, peer.Name, h.Role, h.Announcement.Name)
	}
	return nil
}
