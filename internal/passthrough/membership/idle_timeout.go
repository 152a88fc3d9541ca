package membership

import (
	"net"
	"time"

	"github.com/go-faster/errors"
)

// idleTimeoutConn is a connection whose reads fail once nothing has arrived for
// streamTimeout. A message may take longer to arrive as long as it makes progress: a large
// table does over a slow link.
type idleTimeoutConn struct {
	net.Conn
}

func (c idleTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(streamTimeout)); err != nil {
		return 0, errors.Wrap(err, "membership: read deadline")
	}
	return c.Conn.Read(p)
}
