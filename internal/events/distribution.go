package events

import "github.com/sirupsen/logrus"

// Events of table distribution (client 650 to 659, server 660 to 669) and of TLS
// certificates (670 to 679).
var (
	ControlAttached          = define(650, logrus.InfoLevel, "attached to a control VM")
	ControlStreamEnded       = define(651, logrus.WarnLevel, "stream to a control VM ended")
	ControlQuorumUnreachable = define(652, logrus.ErrorLevel, "no control VM in touch with a quorum")
	ControlQuorumReachable   = define(653, logrus.InfoLevel, "control's word is fresh again")
	TableKept                = define(654, logrus.InfoLevel, "table from the state file in use")
	StateFileUnusable        = define(655, logrus.WarnLevel, "state file of the table unusable")
	TableMismatch            = define(656, logrus.WarnLevel, "table differs from control's; whole table asked for")
	SubscriberAttached       = define(660, logrus.DebugLevel, "subscriber attached")
	SubscriberLost           = define(661, logrus.DebugLevel, "subscriber's stream ended")
	SubscriberRefused        = define(662, logrus.WarnLevel, "subscriber refused")
	SubscriberSilent         = define(663, logrus.WarnLevel, "subscriber reported silent")
	AnnouncementFailed       = define(664, logrus.WarnLevel, "announcement not committed; repeated")
	AnnouncementHeld         = define(665, logrus.WarnLevel, "announcement of a flapping subscriber held back")
	PeerRefused              = define(670, logrus.WarnLevel, "TLS peer refused")
	CertificateReloaded      = define(671, logrus.InfoLevel, "certificate reloaded")
	CertificateUnusable      = define(672, logrus.ErrorLevel, "certificate can't be reloaded; the old one stays in use")
)
