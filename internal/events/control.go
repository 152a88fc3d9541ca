package events

import "github.com/sirupsen/logrus"

// Events of the control role: operators' commands, quorum and cluster keys, 600 to 649.
var (
	CommandApplied   = define(600, logrus.InfoLevel, "operator command")
	FleetChanged     = define(601, logrus.InfoLevel, "fleet change")
	SilenceDisputed  = define(602, logrus.WarnLevel, "silent process kept in service")
	OperatorDenied   = define(603, logrus.WarnLevel, "operator connection denied")
	MembersOrdered   = define(604, logrus.InfoLevel, "operator changed the control members")
	QuorumLost       = define(605, logrus.ErrorLevel, "no contact with a quorum")
	QuorumRegained   = define(606, logrus.InfoLevel, "contact with a quorum regained")
	FirstKeysMade    = define(607, logrus.InfoLevel, "first cluster keys created")
	ClockDiffers     = define(609, logrus.WarnLevel, "clock of control differs from this VM's")
	UnsecuredControl = define(608, logrus.WarnLevel, "control runs without TLS")
)
