package distribution

import (
	"crypto/tls"
	"net"

	"github.com/go-faster/errors"

	"bergamotstall/internal/keys"
)

// errIdentity is returned for a peer whose certificate is for another role or name than
// the peer claims.
var errIdentity = errors.New("distribution: certificate is for another role or name")

// checkIdentity checks a peer's claimed role and name against its certificate. An agent
// must not be able to announce itself as another agent, or as a balancer, which receives
// the targets of every service.
func checkIdentity(raw net.Conn, h hello) error {
	secured, ok := raw.(*tls.Conn)
	if !ok {
		return nil
	}
	peer, err := keys.PeerOf(secured.ConnectionState())
	if err != nil {
		return errors.Wrap(err, "distribution: read identity from the certificate")
	}
	if string(peer.Role) != h.Role.String() || peer.Name != h.Announcement.Name {
		return errors.Wrapf(errIdentity, "%s %s claims to be %s %s", peer.Role, peer.Name, h.Role, h.Announcement.Name)
	}
	return nil
}
