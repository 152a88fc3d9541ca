package events

import "github.com/sirupsen/logrus"

// Events of pass-through flows and of the roles on the users' platform, 700 to 799.
var (
	PassBalancerDecided = define(700, logrus.InfoLevel, "balancer decided on a flow")
	PassAgentDecided    = define(701, logrus.InfoLevel, "agent decided on a flow or its target")
	PassTableInForce    = define(702, logrus.InfoLevel, "table of pass-through routes in force")
	NodeListed          = define(703, logrus.InfoLevel, "node listed")
	NodeDelisted        = define(704, logrus.InfoLevel, "node no longer listed")
	ReadinessChanged    = define(705, logrus.InfoLevel, "readiness changed")
	AnnouncementRefused = define(706, logrus.WarnLevel, "announcement invalid or for another target")
	DefinitionDecided   = define(707, logrus.InfoLevel, "definition processed")
	DefinitionRead      = define(708, logrus.DebugLevel, "definition read")
	SettingsReloaded    = define(709, logrus.InfoLevel, "settings reloaded")
	SettingsKept        = define(710, logrus.WarnLevel, "settings can't be reloaded; the previous ones stay in use")
	LogLinesDropped     = define(711, logrus.WarnLevel, "log lines dropped")
	ReplicaReopened     = define(712, logrus.WarnLevel, "replica reopened after a failure")
	MessageTraffic      = define(714, logrus.InfoLevel, "messages sent and received")
	FolderAbandoned     = define(713, logrus.WarnLevel, "data folder of a removed replica moved aside")
	EvacuationDecided   = define(715, logrus.InfoLevel, "evacuation order processed")
	EvacuationsInForce  = define(716, logrus.InfoLevel, "evacuations in force")
	LinkPressure        = define(717, logrus.InfoLevel, "link and bulk flows")
)
