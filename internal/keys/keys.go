// Package keys creates and verifies the system's keys and certificates: the certificate
// authority, a certificate for each process that contains its role, TLS configurations
// that accept only the allowed roles, and the cluster keys that balancers and agents
// share.
package keys

import "time"

// clockSkew backdates certificates, so that a VM whose clock is slightly behind accepts a
// new one.
const clockSkew = 5 * time.Minute
