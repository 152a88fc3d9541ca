// Package keys makes and checks what the system's processes trust: the
// operator's own certificate authority, a certificate per process with its role
// in it, TLS settings that admit only the roles a listener is for, and the
// cluster keys that balancers and agents share. It holds no connection.
package keys

import "time"

// clockSkew backdates certificates, so that a VM whose clock is a little behind
// accepts one made just now.
const clockSkew = 5 * time.Minute
